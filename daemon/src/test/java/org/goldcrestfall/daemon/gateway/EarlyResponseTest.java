package org.goldcrestfall.daemon.gateway;

import static java.nio.charset.StandardCharsets.ISO_8859_1;
import static org.assertj.core.api.Assertions.assertThat;
import static org.goldcrestfall.daemon.gateway.GatewayFixture.route;

import com.google.common.base.Strings;
import java.io.IOException;
import java.net.Socket;
import java.util.List;
import net.jqwik.api.Example;
import net.jqwik.api.lifecycle.AfterTry;
import net.jqwik.api.lifecycle.BeforeTry;
import org.goldcrestfall.core.gateway.RouteKind;

/**
 * Guards against parts of responses that reach callers as complete: an upstream responds to a long
 * upload at once, and resets the connection while the router still writes the upload. The reset
 * then fails a write, and the end of the connection looks like the end of a response without a
 * length. Also guards against responses whose status is none.
 */
class EarlyResponseTest {

  /** More than the buffers of a connection on loopback hold. */
  private static final int UPLOAD_BYTES = 4_000_000;

  private static final String EVENT = "id: 1\nd: a\n\n";
  private static final List<String> PATHS = List.of("/safe/", "/unsafe/", "/stream/", "/resume/");

  private GatewayFixture fixture;
  private volatile ScriptedUpstream.Script script;

  @BeforeTry
  void open() throws Exception {
    fixture = GatewayFixture.withLongUploads();
    fixture.configure(
        route("/safe/", RouteKind.SAFE, 5_000, 1, false),
        route("/unsafe/", RouteKind.UNSAFE, 5_000, 1, false),
        route("/stream/", RouteKind.STREAMING, 5_000, 1, false),
        route("/resume/", RouteKind.STREAMING, 5_000, 1, true));
    fixture.addEarlyRespondingUpstream("u1", c -> script.respond(c));
  }

  @AfterTry
  void close() throws Exception {
    fixture.close();
  }

  private HttpReply call(String path, int uploadBytes) throws IOException {
    try (Socket caller = fixture.connect()) {
      String head =
          "POST "
              + path
              + " HTTP/1.1\r\nHost: h\r\nX-Id: 7\r\nAuthorization: Token k\r\nContent-Length: "
              + uploadBytes
              + "\r\n\r\n";
      caller.getOutputStream().write(head.getBytes(ISO_8859_1));
      caller.getOutputStream().write(new byte[uploadBytes]);
      return HttpReply.read(caller.getInputStream(), false);
    }
  }

  private static String head(int status, String framing) {
    return "HTTP/1.1 "
        + Strings.padStart(String.valueOf(status), 3, '0')
        + " X\r\nX-Id: 7\r\nContent-Type: text/event-stream\r\nX-Signature: s\r\n"
        + framing
        + "\r\n";
  }

  private static void respondAndReset(ScriptedUpstream.Call c, String response) throws Exception {
    c.write(response);
    Thread.sleep(50);
    c.reset();
  }

  private void assertNoPartLooksWhole(String path) throws IOException {
    HttpReply r = call(path, UPLOAD_BYTES);
    assertThat(r.complete() && r.status() / 100 == 2)
        .as("%s is a whole 2xx: %s", path, r)
        .isFalse();
    assertThat(r.status()).as("status of %s", path).isNotIn(408, 421, 429, 503);
  }

  @Example
  void partOfResponseWithoutLengthDuringUploadIsNotWhole() throws Exception {
    script = c -> respondAndReset(c, head(200, "") + EVENT);
    for (String path : PATHS) {
      assertNoPartLooksWhole(path);
    }
  }

  @Example
  void partOfFramedResponseDuringUploadIsNotWhole() throws Exception {
    for (String framing : List.of("Content-Length: 400\r\n", "Transfer-Encoding: chunked\r\n")) {
      String part = framing.startsWith("T") ? "c\r\n" + EVENT + "\r\n" : EVENT;
      script = c -> respondAndReset(c, head(200, framing) + part);
      for (String path : PATHS) {
        assertNoPartLooksWhole(path);
      }
    }
  }

  @Example
  void partOfResponseOnUsedConnectionIsNotWhole() throws Exception {
    for (String path : PATHS) {
      script =
          c -> {
            if (c.head().contains("/first")) {
              c.write(head(200, "Content-Length: " + EVENT.length() + "\r\n") + EVENT);
            } else {
              respondAndReset(c, head(200, "") + EVENT);
            }
          };
      GatewayFixture.await(() -> isWhole(path + "first"));
      assertNoPartLooksWhole(path);
    }
  }

  /** A response that ends before the upload does is whole if its length says so. */
  @Example
  void wholeResponseBeforeTheEndOfTheUploadIsPassedOn() throws Exception {
    for (String framing : List.of("Content-Length: 12\r\n", "Transfer-Encoding: chunked\r\n")) {
      String body = framing.startsWith("T") ? "c\r\n" + EVENT + "\r\n0\r\n\r\n" : EVENT;
      script = c -> c.write(head(200, framing) + body);
      for (String path : PATHS) {
        HttpReply r = call(path, UPLOAD_BYTES / 4);
        assertThat(r.complete()).as(path).isTrue();
        assertThat(r.body()).as(path).isEqualTo(EVENT);
      }
    }
  }

  /** Guards against a response of an upstream in trouble that callers take for an answer. */
  @Example
  void statusThatIsNoneIsFailure() throws Exception {
    for (int status : new int[] {0, 1, 99, 199, 600, 999}) {
      for (String path : PATHS) {
        script = c -> c.write(head(status, "Content-Length: 12\r\n") + EVENT);
        assertThat(call(path, 2).status()).as("%s for %s", status, path).isEqualTo(502);
      }
    }
  }

  private boolean isWhole(String path) {
    try {
      return call(path, 2).complete();
    } catch (IOException e) {
      throw new AssertionError(e);
    }
  }
}
