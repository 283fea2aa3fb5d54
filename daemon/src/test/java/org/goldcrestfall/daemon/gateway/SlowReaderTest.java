package org.goldcrestfall.daemon.gateway;

import static java.nio.charset.StandardCharsets.ISO_8859_1;
import static org.assertj.core.api.Assertions.assertThat;
import static org.goldcrestfall.daemon.gateway.GatewayFixture.route;

import java.net.Socket;
import net.jqwik.api.Example;
import net.jqwik.api.lifecycle.AfterTry;
import net.jqwik.api.lifecycle.BeforeTry;
import org.goldcrestfall.core.gateway.RouteKind;

/** Guards against responses that are lost because a caller reads slowly. */
class SlowReaderTest {

  private static final String SIGNED = "X-Signature: sig\r\n";
  private static final int RESPONSES = 60;
  private static final String BODY = "b".repeat(200_000);

  private GatewayFixture fixture;

  @BeforeTry
  void open() throws Exception {
    fixture = new GatewayFixture();
    fixture.configure(route("/unsafe/", RouteKind.UNSAFE, 3_000, 1, false));
  }

  @AfterTry
  void close() throws Exception {
    fixture.close();
  }

  /**
   * A long response may fill its caller's buffer at its end, when its upstream connection is idle
   * again; the next request on that connection, of whatever caller, must be answered.
   */
  @Example
  void pauseForSlowCallerDoesNotReachAnIdleUpstreamConnection() throws Exception {
    final ScriptedUpstream u = fixture.addUpstream("u1", c -> c.reply(200, SIGNED, "ok"));
    fixture.call("POST", "/unsafe/a", "", "");
    fixture.runOnLoop(
        () -> {
          var idle = fixture.gateway.upstreams().find("u1").idleConnections();
          assertThat(idle).hasSize(1);
          idle.getFirst().setReading(false);
        });
    assertThat(fixture.call("POST", "/unsafe/a", "", "")).startsWith("HTTP/1.1 200 ");
    assertThat(u.calls).hasSize(2);
  }

  @Example
  void stoppingRouterDeliversResponsesThatTheCallerHasNotReadYet() throws Exception {
    fixture.addUpstream("u1", c -> c.reply(200, SIGNED, BODY));
    try (Socket socket = fixture.connect()) {
      String request =
          "POST /unsafe/a HTTP/1.1\r\nHost: h\r\nX-Id: 7\r\nAuthorization: Token k\r\n"
              + "Content-Length: 0\r\n\r\n";
      socket.getOutputStream().write(request.repeat(RESPONSES).getBytes(ISO_8859_1));
      GatewayFixture.await(
          () -> fixture.gateway.openExchanges() == 0 && fixture.gateway.hasOpenResponses());
      fixture.runOnLoop(fixture.gateway::closeIdleClients);
      String responses = new String(socket.getInputStream().readAllBytes(), ISO_8859_1);
      assertThat(responses.split("HTTP/1.1 200 ", -1)).hasSize(RESPONSES + 1);
      assertThat(responses.chars().filter(c -> c == 'b').count())
          .isGreaterThanOrEqualTo((long) RESPONSES * BODY.length());
      GatewayFixture.await(() -> !fixture.gateway.hasOpenResponses());
    }
  }
}
