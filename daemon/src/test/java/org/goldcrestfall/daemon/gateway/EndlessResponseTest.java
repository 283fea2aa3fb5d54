package org.goldcrestfall.daemon.gateway;

import static java.nio.charset.StandardCharsets.ISO_8859_1;
import static org.assertj.core.api.Assertions.assertThat;
import static org.goldcrestfall.daemon.gateway.GatewayFixture.route;

import java.io.IOException;
import java.io.InputStream;
import java.net.Socket;
import java.net.SocketException;
import net.jqwik.api.Example;
import net.jqwik.api.lifecycle.AfterTry;
import net.jqwik.api.lifecycle.BeforeTry;
import org.goldcrestfall.core.gateway.RouteKind;

/**
 * Guards against upstreams that send bytes without end, in a head or a body, until the router
 * closes the connection: the memory of the router must stay bounded, and the request must be
 * answered long before its timeout.
 */
class EndlessResponseTest {

  private static final int TIMEOUT_MILLIS = 20_000;
  private static final String NO_LINE_END = "x".repeat(8_000);

  private GatewayFixture fixture;

  @BeforeTry
  void open() throws Exception {
    fixture = new GatewayFixture();
    fixture.configure(
        route("/safe/", RouteKind.SAFE, TIMEOUT_MILLIS, 2, false),
        route("/unsafe/", RouteKind.UNSAFE, TIMEOUT_MILLIS, 1, false),
        route("/stream/", RouteKind.STREAMING, TIMEOUT_MILLIS, 1, false));
  }

  @AfterTry
  void close() throws Exception {
    fixture.close();
  }

  /** Sends the start of a response and then a text again and again, until the router closes. */
  private static ScriptedUpstream.Script endless(String start, String repeated) {
    return c -> {
      c.write(start.replace("ID", c.header("X-Id")));
      while (true) {
        c.write(repeated);
      }
    };
  }

  private void assertFailsSoon(String path, ScriptedUpstream.Script script) throws Exception {
    final ScriptedUpstream u = fixture.addUpstream("u1", script);
    long startMillis = System.currentTimeMillis();
    assertThat(fixture.call("POST", path, "", "in")).startsWith("HTTP/1.1 502 ");
    assertThat(System.currentTimeMillis() - startMillis).isLessThan(TIMEOUT_MILLIS / 2);
    GatewayFixture.await(() -> u.closedByPeer.size() == 1);
  }

  @Example
  void endlessStatusLineEndsTheAttempt() throws Exception {
    assertFailsSoon("/unsafe/a", endless("HTTP/1.1 200 ", NO_LINE_END));
  }

  @Example
  void endlessHeaderLinesEndTheAttempt() throws Exception {
    assertFailsSoon("/unsafe/a", endless("HTTP/1.1 200 OK\r\nX-Id: ID\r\n", "X-A: b\r\n"));
  }

  @Example
  void endlessInterimResponsesEndTheAttempt() throws Exception {
    assertFailsSoon("/unsafe/a", endless("", "HTTP/1.1 100 Continue\r\n\r\n"));
  }

  @Example
  void endlessEventEndsTheAttempt() throws Exception {
    String head = "HTTP/1.1 200 OK\r\nX-Id: ID\r\nX-Signature: s\r\n\r\ndata: ";
    assertFailsSoon("/stream/a", endless(head, NO_LINE_END));
  }

  @Example
  void endlessResponseToAnotherRequestEndsTheAttempt() throws Exception {
    String head = "HTTP/1.1 200 OK\r\nX-Id: other\r\nX-Signature: s\r\n\r\n";
    assertFailsSoon("/unsafe/a", endless(head, NO_LINE_END));
  }

  @Example
  void endlessChunkExtensionEndsTheAttempt() throws Exception {
    String head =
        "HTTP/1.1 200 OK\r\nX-Id: ID\r\nX-Signature: s\r\nTransfer-Encoding: chunked\r\n\r\n5;";
    assertFailsSoon("/unsafe/a", endless(head, NO_LINE_END));
  }

  @Example
  void endlessResponsesToOtherRequestsEndTheAttempt() throws Exception {
    String other = "HTTP/1.1 200 OK\r\nX-Id: other\r\nContent-Length: 0\r\n\r\n";
    assertFailsSoon("/unsafe/a", endless("", other));
  }

  @Example
  void endlessChunksOfOneByteEndTheAttempt() throws Exception {
    String head =
        "HTTP/1.1 200 OK\r\nX-Id: ID\r\nX-Signature: s\r\nTransfer-Encoding: chunked\r\n\r\n";
    assertFailsSoon("/unsafe/a", endless(head, "1\r\nx\r\n".repeat(1_000)));
  }

  @Example
  void endlessTrailersEndTheAttempt() throws Exception {
    String head =
        "HTTP/1.1 200 OK\r\nX-Id: ID\r\nX-Signature: s\r\nTransfer-Encoding: chunked\r\n\r\n"
            + "1\r\nx\r\n0\r\n";
    assertFailsSoon("/unsafe/a", endless(head, "X-A: b\r\n"));
  }

  @Example
  void lengthsThatNoBodyCanHaveEndTheAttempt() throws Exception {
    for (String size : new String[] {"7fffffffffffffff1", "-1", "ffffffffffffffff"}) {
      String head =
          "HTTP/1.1 200 OK\r\nX-Id: ID\r\nX-Signature: s\r\n"
              + "Transfer-Encoding: chunked\r\n\r\n"
              + size
              + "\r\n";
      assertFailsSoon("/unsafe/a", endless(head, NO_LINE_END));
    }
    for (String length : new String[] {"9223372036854775808", "-1", "1\r\nContent-Length: 2"}) {
      String head =
          "HTTP/1.1 200 OK\r\nX-Id: ID\r\nX-Signature: s\r\nContent-Length: " + length + "\r\n\r\n";
      assertFailsSoon("/unsafe/a", endless(head, NO_LINE_END));
    }
  }

  /** The body is forwarded as it arrives, so it must never look complete. */
  @Example
  void endlessBodyIsBrokenOffAtTheTimeoutOfTheRoute() throws Exception {
    fixture.configure(route("/short/", RouteKind.SAFE, 1_000, 1, false));
    fixture.addUpstream(
        "u1", endless("HTTP/1.1 200 OK\r\nX-Id: ID\r\nX-Signature: s\r\n\r\n", NO_LINE_END));
    assertThat(lastBytesOf("/short/a")).doesNotEndWith("\r\n0\r\n\r\n");
    fixture.runOnLoop(() -> assertThat(fixture.gateway.openExchanges()).isZero());
  }

  /** Sends a request and returns the last bytes of the response, without keeping the others. */
  private String lastBytesOf(String path) throws IOException {
    byte[] buffer = new byte[65_536];
    String last = "";
    try (Socket socket = fixture.connect()) {
      String request = "GET " + path + " HTTP/1.1\r\nHost: h\r\nX-Id: 1\r\n";
      socket
          .getOutputStream()
          .write((request + "Authorization: Token k\r\n\r\n").getBytes(ISO_8859_1));
      InputStream in = socket.getInputStream();
      for (int n = in.read(buffer); n >= 0; n = in.read(buffer)) {
        last = new String(buffer, Math.max(0, n - 16), Math.min(n, 16), ISO_8859_1);
      }
    } catch (SocketException e) {
      // A reset also shows the caller that the response is not complete.
      return "";
    }
    return last;
  }
}
