package org.goldcrestfall.daemon.gateway;

import static java.nio.charset.StandardCharsets.ISO_8859_1;
import static org.assertj.core.api.Assertions.assertThat;
import static org.goldcrestfall.daemon.gateway.GatewayFixture.route;

import java.io.IOException;
import java.net.Socket;
import java.net.SocketException;
import java.util.Random;
import net.jqwik.api.Example;
import org.goldcrestfall.core.gateway.RouteKind;

/**
 * Guards against bytes of callers and upstreams that end the event loop of a router, or that reach
 * callers as something other than a response. All cases run on one router, which serves to the end.
 */
class OddBytesTest {

  private static final int CASES = 300;
  private static final String REQUEST =
      "POST /safe/a HTTP/1.1\r\nHost: h\r\nX-Id: 1\r\nAuthorization: Token k\r\nX-Tokens: 5,6\r\n"
          + "X-Parts: a:3,b:2\r\nX-Remaining: 500\r\nConnection: close\r\n"
          + "Content-Length: 2\r\n\r\nin";

  private volatile byte[] response;

  private static byte[] mutate(String text, Random r) {
    byte[] out = text.getBytes(ISO_8859_1);
    for (int i = 1 + r.nextInt(3); i > 0; i--) {
      out[r.nextInt(out.length)] =
          (byte) (r.nextBoolean() ? r.nextInt() : "\r\n: ,0-".charAt(r.nextInt(7)));
    }
    return out;
  }

  private static GatewayFixture open() throws Exception {
    GatewayFixture f = new GatewayFixture();
    f.configure(
        route("/safe/", RouteKind.SAFE, 500, 1, false),
        route("/stream/", RouteKind.STREAMING, 500, 1, false));
    return f;
  }

  @Example
  void oddRequestsLeaveTheRouterServing() throws Exception {
    Random r = new Random(7801);
    try (GatewayFixture fixture = open()) {
      fixture.addUpstream("u1", c -> c.reply(200, "X-Signature: s\r\n", "ok"));
      for (int i = 0; i < CASES; i++) {
        byte[] odd = mutate(REQUEST, r);
        try (Socket socket = fixture.connect()) {
          socket.getOutputStream().write(odd);
          socket.shutdownOutput();
          String reply = new String(socket.getInputStream().readAllBytes(), ISO_8859_1);
          assertThat(reply)
              .as(new String(odd, ISO_8859_1))
              .matches("(?s)|HTTP/1\\.1 [1-5]\\d\\d .*");
        } catch (SocketException e) {
          // The router closed the connection before it had read all bytes.
        }
      }
      assertThat(fixture.call("POST", "/safe/a", "", "")).endsWith("ok");
    }
  }

  @Example
  void oddResponsesLeaveTheRouterServing() throws Exception {
    Random r = new Random(7802);
    try (GatewayFixture fixture = open()) {
      fixture.addUpstream(
          "u1",
          c -> {
            if (c.head().contains("/sound")) {
              c.reply(200, "X-Signature: s\r\n", "ok");
            } else {
              c.socket().getOutputStream().write(response);
            }
            c.socket().close();
          });
      for (int i = 0; i < CASES; i++) {
        String whole =
            "HTTP/1.1 200 OK\r\nX-Id: 1\r\nX-Signature: s\r\nX-Load: 1,2,3\r\nX-Limit: 5\r\n"
                + "Keep-Alive: timeout=5\r\nTransfer-Encoding: chunked\r\n\r\n"
                + "d\r\nid: 1\nd: a\n\n\r\n0\r\n\r\n";
        response = mutate(whole, r);
        String path = i % 2 == 0 ? "/safe/a" : "/stream/a";
        assertOneResponse(fixture, REQUEST.replace("/safe/a", path));
      }
      GatewayFixture.await(() -> isServing(fixture));
    }
  }

  private void assertOneResponse(GatewayFixture fixture, String request) throws IOException {
    try (Socket socket = fixture.connect()) {
      socket.getOutputStream().write(request.getBytes(ISO_8859_1));
      HttpReply reply = HttpReply.read(socket.getInputStream(), false);
      if (reply.complete()) {
        assertThat(socket.getInputStream().read()).isEqualTo(-1);
      }
    }
  }

  private static boolean isServing(GatewayFixture fixture) {
    try {
      return fixture.call("POST", "/safe/sound", "", "").endsWith("ok");
    } catch (IOException e) {
      throw new AssertionError(e);
    }
  }
}
