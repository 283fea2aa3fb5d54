package org.goldcrestfall.daemon.gateway;

import static java.nio.charset.StandardCharsets.ISO_8859_1;
import static org.assertj.core.api.Assertions.assertThat;
import static org.goldcrestfall.daemon.gateway.GatewayFixture.route;

import java.io.IOException;
import java.net.Socket;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CopyOnWriteArrayList;
import net.jqwik.api.Example;
import net.jqwik.api.lifecycle.AfterTry;
import net.jqwik.api.lifecycle.BeforeTry;
import org.goldcrestfall.core.gateway.RouteKind;

/** Guards against requests that a router takes after it was told to stop, and then cuts off. */
class DrainingRouterTest {

  private static final String SIGNED = "X-Signature: sig\r\n";

  private static final String REQUEST =
      "POST /unsafe/a HTTP/1.1\r\nHost: h\r\nX-Id: i\r\nAuthorization: Token k\r\n"
          + "Content-Length: 0\r\n\r\n";

  private static final String LONG_REQUEST =
      REQUEST.replace("Length: 0", "Length: 100000") + "b".repeat(100_000);

  private static final long PASS_MILLIS = 30;

  private GatewayFixture fixture;

  @BeforeTry
  void open() throws Exception {
    fixture = new GatewayFixture();
    fixture.configure(
        route("/unsafe/", RouteKind.UNSAFE, 3_000, 1, false),
        route("/long/", RouteKind.UNSAFE, 12_000, 1, false));
  }

  @AfterTry
  void close() throws Exception {
    fixture.close();
  }

  private CompletableFuture<String> callLater(String path) {
    return CompletableFuture.supplyAsync(
        () -> {
          try {
            return fixture.call("POST", path, "", "");
          } catch (IOException e) {
            return "no response: " + e.getMessage();
          }
        });
  }

  @Example
  void requestThatMayOutlastTheRouterIsRefusedAsNotRunAndNotSent() throws Exception {
    ScriptedUpstream u = fixture.addUpstream("u1", c -> c.reply(200, SIGNED, "ok"));
    fixture.startDraining(0, 5_000);
    assertThat(fixture.call("POST", "/long/a", "", ""))
        .startsWith("HTTP/1.1 503 ")
        .containsIgnoringCase("retry-after: 0.")
        .containsIgnoringCase("connection: close")
        .contains("\"kind\":\"draining\"")
        .contains("\"run\":\"not_run\"");
    assertThat(u.calls).isEmpty();
  }

  @Example
  void requestWhoseTimeLimitEndsBeforeTheRouterIsServed() throws Exception {
    fixture.addUpstream("u1", c -> c.reply(200, SIGNED, "ok"));
    fixture.startDraining(0, 5_000);
    assertThat(fixture.call("POST", "/unsafe/a", "", "")).startsWith("HTTP/1.1 200 ");
    assertThat(fixture.call("POST", "/long/a", "X-Remaining: 2000\r\n", ""))
        .startsWith("HTTP/1.1 200 ");
  }

  @Example
  void requestThatIsOpenWhenTheRouterStopsGetsResponse() throws Exception {
    ScriptedUpstream silent = fixture.addUpstream("u1", c -> {});
    final CompletableFuture<String> sent = callLater("/long/a");
    GatewayFixture.await(() -> !silent.calls.isEmpty());
    fixture.startDraining(1_000, 5_000);
    fixture.runOnLoop(fixture::stop);
    assertThat(sent.get()).startsWith("HTTP/1.1 504 ").endsWith("}}\n");
    assertThat(fixture.gateway.openExchanges()).isZero();
  }

  @Example
  void stoppedRouterClosesConnectionsWithoutReadingRequests() throws Exception {
    ScriptedUpstream u = fixture.addUpstream("u1", c -> c.reply(200, SIGNED, "ok"));
    try (Socket idle = fixture.connect()) {
      fixture.startDraining(1_000, 5_000);
      fixture.runOnLoop(fixture::stop);
      assertThat(idle.getInputStream().read()).isEqualTo(-1);
    }
    assertThat(u.calls).isEmpty();
  }

  private static String readAll(Socket socket) throws IOException {
    return new String(socket.getInputStream().readAllBytes(), ISO_8859_1);
  }

  private static String readUntil(Socket socket, String end) throws IOException {
    StringBuilder text = new StringBuilder();
    while (!text.toString().endsWith(end)) {
      text.append((char) socket.getInputStream().read());
    }
    return text.toString();
  }

  @Example
  void requestThatHasArrivedWhenIdleConnectionsAreClosedGetsResponse() throws Exception {
    fixture.addUpstream("u1", c -> c.reply(200, SIGNED, "ok"));
    try (Socket caller = fixture.connect()) {
      fixture.startDraining(1_000, 5_000);
      fixture.runBeforeReading(
          () -> GatewayFixture.send(caller, REQUEST), fixture.gateway::closeIdleClients);
      assertThat(readAll(caller)).startsWith("HTTP/1.1 200 ").endsWith("ok");
    }
  }

  @Example
  void requestThatHasArrivedWhenTheRouterStopsIsRefusedAsNotRun() throws Exception {
    ScriptedUpstream u = fixture.addUpstream("u1", c -> c.reply(200, SIGNED, "ok"));
    try (Socket caller = fixture.connect()) {
      fixture.startDraining(1_000, 5_000);
      fixture.runBeforeReading(() -> GatewayFixture.send(caller, REQUEST), fixture::stop);
      assertThat(readAll(caller)).startsWith("HTTP/1.1 503 ").contains("\"run\":\"not_run\"");
    }
    assertThat(u.calls).isEmpty();
  }

  @Example
  void requestOnNewConnectionWhenTheRouterStopsIsRefusedAsNotRun() throws Exception {
    fixture.startDraining(1_000, 5_000);
    CompletableFuture<Socket> caller = new CompletableFuture<>();
    fixture.runBeforeReading(
        () -> {
          caller.complete(fixture.connect());
          return GatewayFixture.send(caller.get(), REQUEST);
        },
        fixture::stop);
    try (Socket socket = caller.get()) {
      assertThat(readAll(socket)).startsWith("HTTP/1.1 503 ").contains("\"run\":\"not_run\"");
    }
  }

  /** A pass of the event loop reads at most 16 KiB of a connection. */
  @Example
  void longRequestThatHasArrivedWhenTheRouterStopsIsRefusedAsNotRun() throws Exception {
    fixture.startDraining(1_000, 5_000);
    fixture.slowDown(PASS_MILLIS);
    try (Socket caller = fixture.connect()) {
      fixture.runBeforeReading(() -> GatewayFixture.send(caller, LONG_REQUEST), fixture::stop);
      assertThat(readAll(caller)).startsWith("HTTP/1.1 503 ").contains("\"run\":\"not_run\"");
    }
  }

  /** A pass of the event loop accepts a limited number of connections and reads each one once. */
  @Example
  void requestsOnManyNewConnectionsWhenTheRouterStopsAreRefusedAsNotRun() throws Exception {
    fixture.startDraining(1_000, 5_000);
    fixture.slowDown(PASS_MILLIS);
    List<Socket> callers = new CopyOnWriteArrayList<>();
    fixture.runBeforeReading(
        () -> {
          for (int i = 0; i < 80; i++) {
            callers.add(fixture.connect());
            GatewayFixture.send(callers.get(i), REQUEST);
          }
          return null;
        },
        fixture::stop);
    for (Socket caller : callers) {
      assertThat(readAll(caller)).startsWith("HTTP/1.1 503 ").contains("\"run\":\"not_run\"");
      caller.close();
    }
  }

  /**
   * The periodic check for timeouts may run between the accept of a connection and its first read.
   */
  @Example
  void requestOnNewConnectionAfterIdleConnectionsWereClosedGetsResponse() throws Exception {
    fixture.addUpstream("u1", c -> c.reply(200, SIGNED, "ok"));
    fixture.startDraining(1_000, 5_000);
    fixture.runOnLoop(fixture.gateway::closeIdleClients);
    CompletableFuture<Socket> caller = new CompletableFuture<>();
    fixture.runBeforeReading(
        () -> {
          caller.complete(fixture.connect());
          GatewayFixture.send(caller.get(), REQUEST);
          Thread.sleep(Gateway.TIMEOUT_CHECK_INTERVAL_MILLIS + 100);
          return null;
        },
        () -> {});
    try (Socket socket = caller.get()) {
      assertThat(readAll(socket)).startsWith("HTTP/1.1 200 ").endsWith("ok");
    }
  }

  @Example
  void callerThatWasNotToldToLeaveCanSendItsNextRequest() throws Exception {
    fixture.addUpstream("u1", c -> c.reply(200, SIGNED, "ok"));
    try (Socket caller = fixture.connect()) {
      fixture.holdClock(true);
      GatewayFixture.send(caller, REQUEST);
      assertThat(readUntil(caller, "ok")).startsWith("HTTP/1.1 200 ");
      fixture.startDraining(1_000, 5_000);
      fixture.runOnLoop(fixture.gateway::closeIdleClients);
      Thread.sleep(60);
      assertThat(fixture.canStop()).isFalse();
      assertThat(GatewayFixture.sendRaw(caller, REQUEST))
          .startsWith("HTTP/1.1 200 ")
          .containsIgnoringCase("connection: close");
    }
    fixture.holdClock(false);
    GatewayFixture.await(() -> fixture.canStop());
  }

  @Example
  void routerDoesNotStopWhileTheBodyOfRequestIsBeingSent() throws Exception {
    fixture.addUpstream("u1", c -> c.reply(200, SIGNED, "ok"));
    try (Socket caller = fixture.connect()) {
      fixture.startDraining(1_000, 5_000);
      GatewayFixture.send(caller, REQUEST.replace("Length: 0", "Length: 4") + "ab");
      fixture.runOnLoop(fixture.gateway::closeIdleClients);
      Thread.sleep(400);
      assertThat(fixture.canStop()).isFalse();
      assertThat(GatewayFixture.sendRaw(caller, "cd")).startsWith("HTTP/1.1 200 ");
    }
    GatewayFixture.await(() -> fixture.canStop());
  }
}
