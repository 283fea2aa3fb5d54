package org.goldcrestfall.daemon.gateway;

import static org.assertj.core.api.Assertions.assertThat;
import static org.goldcrestfall.daemon.gateway.GatewayFixture.route;

import java.io.IOException;
import java.net.Socket;
import java.net.SocketException;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.logging.Handler;
import java.util.logging.LogRecord;
import java.util.logging.Logger;
import net.jqwik.api.Example;
import net.jqwik.api.lifecycle.AfterTry;
import net.jqwik.api.lifecycle.BeforeTry;
import org.goldcrestfall.core.gateway.ClientLimits;
import org.goldcrestfall.core.gateway.GatewayConfiguration;
import org.goldcrestfall.core.gateway.RouteKind;
import org.goldcrestfall.core.gateway.ServiceSettings;
import org.goldcrestfall.daemon.PeriodicTasks;

/**
 * Guards against an unexpected exception that ends a periodic task or the event loop of a router,
 * or that leaves no trace in the log.
 */
class FailingHandlerTest {

  /** Longer than the intervals of all periodic tasks of a router. */
  private static final int FAILURE_MILLIS = 1_500;

  /** Short enough for the periodic check to close a connection soon. */
  private static final int SHORT_IDLE_TIMEOUT_MILLIS = 300;

  private final List<LogRecord> logged = new CopyOnWriteArrayList<>();
  private final Logger root = Logger.getLogger("org.goldcrestfall");
  private final Handler handler =
      new Handler() {
        @Override
        public void publish(LogRecord r) {
          logged.add(r);
        }

        @Override
        public void flush() {}

        @Override
        public void close() {}
      };
  private GatewayFixture fixture;

  @BeforeTry
  void open() throws Exception {
    root.addHandler(handler);
    fixture = new GatewayFixture();
    configure(ClientLimits.DEFAULT);
    fixture.addUpstream("u1", c -> c.reply(200, "X-Signature: s\r\n", "ok"));
  }

  private void configure(ClientLimits limits) throws Exception {
    var configuration =
        new GatewayConfiguration(
            1,
            List.of(route("/safe/", RouteKind.SAFE, 3_000, 1, false)),
            Map.of("s", new ServiceSettings("s", 100, Optional.empty(), Optional.empty())),
            limits,
            Optional.empty());
    fixture.runOnLoop(() -> fixture.gateway.configurationChanged(configuration));
  }

  @AfterTry
  void close() throws Exception {
    root.removeHandler(handler);
    fixture.close();
  }

  private boolean isLogged(Class<?> by) {
    return logged.stream()
        .filter(r -> String.valueOf(r.getThrown()).contains("the clock fails"))
        .anyMatch(r -> r.getLoggerName().equals(by.getName()));
  }

  @Example
  void periodicTasksContinueAfterRunsThatFailed() throws Exception {
    configure(new ClientLimits(16_384, 4_194_304, 3_000, SHORT_IDLE_TIMEOUT_MILLIS));
    fixture.clockFails = true;
    Thread.sleep(FAILURE_MILLIS);
    fixture.clockFails = false;
    assertThat(isLogged(PeriodicTasks.class)).isTrue();
    try (Socket idle = fixture.connect()) {
      assertThat(idle.getInputStream().read()).isEqualTo(-1);
    }
  }

  @Example
  void requestWhoseHandlerThrowsEndsItsConnectionOnlyAndIsLogged() throws Exception {
    try (Socket socket = fixture.connect()) {
      GatewayFixture.await(() -> isConnected());
      fixture.clockFails = true;
      assertThat(lastBytes(socket)).isEmpty();
      GatewayFixture.await(() -> isLogged(ClientConnection.class));
    }
    fixture.clockFails = false;
    assertThat(fixture.call("GET", "/safe/a", "", "")).endsWith("ok");
  }

  /** Returns whether the router has set up the connections that were opened before. */
  private boolean isConnected() {
    try {
      return fixture.call("GET", "/safe/a", "", "").endsWith("ok");
    } catch (IOException e) {
      throw new AssertionError(e);
    }
  }

  private static String lastBytes(Socket socket) throws IOException {
    try {
      return GatewayFixture.sendRaw(socket, "GET /safe/a HTTP/1.1\r\nHost: h\r\nX-Id: 1\r\n\r\n");
    } catch (SocketException e) {
      return "";
    }
  }
}
