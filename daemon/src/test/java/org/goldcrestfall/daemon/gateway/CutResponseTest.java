package org.goldcrestfall.daemon.gateway;

import static java.nio.charset.StandardCharsets.ISO_8859_1;
import static org.assertj.core.api.Assertions.assertThat;
import static org.goldcrestfall.daemon.gateway.GatewayFixture.route;

import java.io.IOException;
import java.net.Socket;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.atomic.AtomicInteger;
import net.jqwik.api.Example;
import net.jqwik.api.lifecycle.AfterTry;
import net.jqwik.api.lifecycle.BeforeTry;
import org.goldcrestfall.core.gateway.RouteKind;

/**
 * Guards against responses that upstreams break off and that reach callers as complete: each
 * response is cut at every byte of its head and body, by an orderly end and by a reset of the
 * connection. Also guards against a second run of a request that may not be repeated.
 */
class CutResponseTest {

  /** Time for the router to read the bytes before a reset, which discards unread ones. */
  private static final int MILLIS_BEFORE_RESET = 2;

  private static final List<String> EVENTS =
      List.of("id: 1\nd: a\n\n", "id: 2\nd: b\n\n", "id: 3\nd: c\n\n");
  private static final String BODY = String.join("", EVENTS);
  private static final String SIGNED = "Content-Type: text/event-stream\r\nX-Signature: s\r\n";

  private enum Framing {
    LENGTH,
    CHUNKED,
    TRAILERS,
    UNTIL_CLOSE
  }

  /** A response to be cut, and how its connection ends. */
  private record Cut(Framing framing, int bytes, boolean reset) {}

  private final AtomicInteger nextId = new AtomicInteger(1);
  private GatewayFixture fixture;
  private Socket caller;
  private final List<ScriptedUpstream> upstreams = new ArrayList<>();
  private volatile Cut cut;
  private volatile ScriptedUpstream.Script raw;
  private volatile int cutsLeft;

  @BeforeTry
  void open() throws Exception {
    fixture = GatewayFixture.withUnlimitedRetries();
    fixture.configure(
        route("/safe/", RouteKind.SAFE, 3_000, 1, false),
        route("/retried/", RouteKind.SAFE, 3_000, 2, false),
        route("/unsafe/", RouteKind.UNSAFE, 3_000, 2, false),
        route("/stream/", RouteKind.STREAMING, 3_000, 2, false),
        route("/resume/", RouteKind.STREAMING, 3_000, 2, true));
    upstreams.add(fixture.addUpstream("u1", this::respond));
    upstreams.add(fixture.addUpstream("u2", this::respond));
  }

  @AfterTry
  void close() throws Exception {
    if (caller != null) {
      caller.close();
    }
    fixture.close();
  }

  private static String body(Framing framing, String lastEventId) {
    int next = lastEventId.isEmpty() ? 0 : Integer.parseInt(lastEventId);
    if (framing == Framing.LENGTH || framing == Framing.UNTIL_CLOSE) {
      return String.join("", EVENTS.subList(next, EVENTS.size()));
    }
    StringBuilder out = new StringBuilder();
    for (String e : EVENTS.subList(next, EVENTS.size())) {
      out.append(Integer.toHexString(e.length())).append("\r\n").append(e).append("\r\n");
    }
    return out + "0\r\n" + (framing == Framing.TRAILERS ? "X-Sum: 1\r\n" : "") + "\r\n";
  }

  private static String response(Framing framing, String id, String lastEventId) {
    String body = body(framing, lastEventId);
    String lengthHeader =
        switch (framing) {
          case LENGTH -> "Content-Length: " + body.length() + "\r\n";
          case CHUNKED, TRAILERS -> "Transfer-Encoding: chunked\r\n";
          case UNTIL_CLOSE -> "";
        };
    return "HTTP/1.1 200 OK\r\nX-Id: " + id + "\r\n" + SIGNED + lengthHeader + "\r\n" + body;
  }

  /** Cuts the response as set, as often as set, and completes it otherwise. */
  private void respond(ScriptedUpstream.Call c) throws Exception {
    final Cut now = cut;
    if (c.head().contains("/raw")) {
      raw.respond(c);
      c.socket().close();
      return;
    }
    if (c.head().contains("/sound") || cutsLeft <= 0) {
      c.write(response(Framing.LENGTH, c.header("X-Id"), c.header("Last-Event-Id")));
      return;
    }
    cutsLeft--;
    String whole = response(now.framing, c.header("X-Id"), c.header("Last-Event-Id"));
    c.write(whole.substring(0, Math.min(now.bytes, whole.length())));
    if (now.reset) {
      Thread.sleep(MILLIS_BEFORE_RESET);
      c.reset();
    } else {
      c.socket().close();
    }
  }

  /** Sends a request on the caller's kept connection, and reads the response to it. */
  private HttpReply call(String method, String path) throws IOException {
    if (caller == null) {
      caller = fixture.connect();
    }
    String id = String.valueOf(nextId.getAndIncrement());
    String text =
        method
            + " "
            + path
            + " HTTP/1.1\r\nHost: h\r\nAuthorization: Token k\r\nContent-Length: 2\r\nX-Id: "
            + id
            + "\r\n\r\nin";
    caller.getOutputStream().write(text.getBytes(ISO_8859_1));
    HttpReply r = HttpReply.read(caller.getInputStream(), method.equals("HEAD"));
    if (r.complete()) {
      assertThat(r.header("X-Id")).isEqualTo(id);
    }
    if (!r.complete() || r.header("connection").equals("close")) {
      caller.close();
      caller = null;
    }
    return r;
  }

  private static boolean isWholeByProtocol(Cut cut, boolean stream) {
    int headBytes = response(cut.framing, id(), "").indexOf("\r\n\r\n") + 4;
    int bodyBytes = cut.bytes - headBytes;
    boolean atEventEnd = bodyBytes > 0 && BODY.startsWith("\n\n", bodyBytes - 2);
    return cut.framing == Framing.UNTIL_CLOSE
        && !cut.reset
        && bodyBytes >= 0
        && (!stream || atEventEnd);
  }

  /** Returns an id as long as those of the requests that are cut. */
  private static String id() {
    return "1000";
  }

  /** Calls {@code check} for each cut of a response in each framing, with both ends. */
  private void forEachCut(CutCheck check) throws Exception {
    forEachCut(List.of(false, true), check);
  }

  private void forEachCut(List<Boolean> resets, CutCheck check) throws Exception {
    nextId.set(1_000);
    for (Framing f : Framing.values()) {
      int length = response(f, id(), "").length();
      for (int bytes = 0; bytes < length; bytes++) {
        for (boolean reset : resets) {
          cut = new Cut(f, bytes, reset);
          check.run(cut);
        }
      }
    }
  }

  private interface CutCheck {
    void run(Cut cut) throws Exception;
  }

  private int calls() {
    return upstreams.stream().mapToInt(u -> u.calls.size()).sum();
  }

  /** Waits for a sound response, which leaves a kept connection to an upstream. */
  private void awaitSoundResponse(String path) {
    cutsLeft = 0;
    GatewayFixture.await(() -> isSound(path));
  }

  /** An upstream that closed without a byte gets no requests for some time. */
  private boolean isSound(String path) {
    try {
      HttpReply r = call("POST", path + "sound");
      return r.complete() && r.body().equals(BODY);
    } catch (IOException e) {
      throw new AssertionError(e);
    }
  }

  private void assertNoPartLooksWhole(String path, boolean stream) throws Exception {
    forEachCut(
        c -> {
          awaitSoundResponse(path);
          cutsLeft = Integer.MAX_VALUE;
          int before = calls();
          HttpReply r = call("POST", path + "a");
          if (isWholeByProtocol(c, stream)) {
            assertThat(r.status()).as("%s", c).isEqualTo(200);
            assertThat(BODY).as("%s", c).startsWith(r.body());
          } else if (r.complete()) {
            assertThat(r.status()).as("%s: %s", c, r).isEqualTo(502);
          }
          assertThat(calls()).as("%s", c).isEqualTo(before + 1);
        });
  }

  private void assertRetryCompletes(String path, boolean stream) throws Exception {
    forEachCut(
        c -> {
          awaitSoundResponse(path);
          cutsLeft = 1;
          HttpReply r = call("POST", path + "a");
          assertThat(r.status()).as("%s: %s", c, r).isEqualTo(200);
          assertThat(r.complete()).as("%s: %s", c, r).isTrue();
          if (isWholeByProtocol(c, stream)) {
            assertThat(BODY).as("%s", c).startsWith(r.body());
          } else {
            assertThat(r.body()).as("%s", c).isEqualTo(BODY);
          }
        });
  }

  @Example
  void cutResponseOfSafeRouteIsAnError() throws Exception {
    assertNoPartLooksWhole("/safe/", false);
  }

  @Example
  void cutResponseOfUnsafeRouteIsAnErrorAndIsNotSentAgain() throws Exception {
    assertNoPartLooksWhole("/unsafe/", false);
  }

  @Example
  void cutStreamIsAnErrorOrBrokenOffAndIsNotSentAgain() throws Exception {
    assertNoPartLooksWhole("/stream/", true);
  }

  @Example
  void cutResponseIsReplacedByTheWholeOneOfAnotherUpstream() throws Exception {
    assertRetryCompletes("/retried/", false);
  }

  @Example
  void cutStreamIsResumedWithoutLossOrRepetition() throws Exception {
    assertRetryCompletes("/resume/", true);
  }

  /** The resumed part is cut too; the stream must not look complete. */
  @Example
  void streamWhoseResumedPartIsCutIsBrokenOff() throws Exception {
    forEachCut(
        List.of(false),
        c -> {
          if (isWholeByProtocol(c, true)) {
            return;
          }
          awaitSoundResponse("/resume/");
          cutsLeft = 2;
          HttpReply r = call("POST", "/resume/a");
          if (r.complete() && r.status() == 200) {
            // Only a second response that is shorter than the cut is whole.
            assertThat(r.body()).as("%s", c).isEqualTo(BODY);
          } else if (r.complete()) {
            assertThat(r.status()).as("%s: %s", c, r).isEqualTo(502);
          } else {
            assertThat(BODY).as("%s", c).startsWith(r.body());
          }
        });
  }

  /** Reads each response from a kept connection, on which any further byte would show up next. */
  @Example
  void responseWithoutBodyIsWholeOrAnError() throws Exception {
    for (String line : List.of("HEAD 200", "HEAD 404", "GET 204", "GET 304")) {
      for (String path : List.of("/safe/", "/stream/")) {
        for (String framing :
            List.of("Content-Length: 45\r\n", "Transfer-Encoding: chunked\r\n", "")) {
          String method = line.substring(0, line.indexOf(' '));
          int status = Integer.parseInt(line.substring(line.indexOf(' ') + 1));
          assertHeadIsWholeOrAnError(method, path, status, framing);
        }
      }
    }
  }

  private void assertHeadIsWholeOrAnError(String method, String path, int status, String framing)
      throws Exception {
    nextId.set(1_000);
    String head = "HTTP/1.1 " + status + " X\r\nX-Id: %s\r\n" + SIGNED + framing + "\r\n";
    int length = head.formatted(id()).length();
    // The framing makes no difference where the head is cut.
    int first = framing.startsWith("Content-Length") ? 0 : length;
    for (int bytes = first; bytes <= length; bytes++) {
      awaitSoundResponse(path);
      String text = head;
      int end = bytes;
      raw = c -> c.write(text.formatted(c.header("X-Id")).substring(0, end));
      HttpReply r = call(method, path + "raw");
      boolean whole = bytes == length;
      assertThat(r.complete()).as("%s %s%s: %s", method, path, status, r).isTrue();
      assertThat(r.status())
          .as("%s %s%s: %s", method, path, bytes, r)
          .isEqualTo(whole ? status : 502);
      if (whole && status != 204 && framing.startsWith("Content-Length")) {
        assertThat(r.header("Content-Length")).as("%s %s", method, path).isEqualTo("45");
      }
    }
  }

  /** Guards against two responses on one connection that are read as one. */
  @Example
  void headThatIsCompletedByAnotherResponseIsAnError() throws Exception {
    nextId.set(1_000);
    List<String> others =
        List.of(
            "HTTP/1.1 200 OK\r\nX-Id: 7\r\nX-Signature: t\r\nContent-Length: 5\r\n\r\nother",
            "HTTP/1.1 500 X\r\nX-Id: %s\r\nX-Signature: t\r\nContent-Length: 5\r\n\r\nother",
            "HTTP/1.1 200 OK\r\nX-Id: %s\r\nX-Signature: t\r\nContent-Length: 5\r\n\r\nother",
            "X-Id: 7\r\nX-Signature: t\r\nContent-Length: 5\r\n\r\nother");
    for (String path : List.of("/unsafe/", "/stream/")) {
      for (String other : others) {
        for (int bytes = 1;
            bytes < response(Framing.UNTIL_CLOSE, id(), "").indexOf("\r\n\r\n");
            bytes++) {
          String start = response(Framing.UNTIL_CLOSE, id(), "").substring(0, bytes);
          if (!other.startsWith("HTTP/") && !start.endsWith("\r\n")) {
            // A header name that absorbs the next one cannot be told from a header of that name.
            continue;
          }
          awaitSoundResponse(path);
          int end = bytes;
          raw =
              c -> {
                String id = c.header("X-Id");
                c.write(
                    response(Framing.UNTIL_CLOSE, id, "").substring(0, end) + other.formatted(id));
              };
          HttpReply r = call("POST", path + "raw");
          if (r.complete()) {
            assertThat(r.status()).as("%s bytes, then %s: %s", bytes, other, r).isEqualTo(502);
          }
        }
      }
    }
  }

  /** Guards against half a head, or no response at all, where a head cannot be passed on. */
  @Example
  void oddHeadIsPassedOnWholeOrIsAnError() throws Exception {
    List<String> odd =
        List.of(
            "HTTP/1.1 200 é\1\177\r\n",
            "HTTP/1.1 200\r\n",
            "HTTP/1.1 200 \t\r\n",
            "HTTP/1.1 99 X\r\n",
            "HTTP/1.1 0 X\r\n",
            "HTTP/1.1 100 X\r\n",
            "HTTP/1.1 103 X\r\n",
            "HTTP/1.1 101 X\r\n",
            "HTTP/1.1 700 X\r\n",
            "HTTP/1.1 -1 X\r\n",
            "HTTP/1.1 99999999999 X\r\n",
            "HTTP/1.0 200 X\r\n",
            "HTTP/1.1 200 X\r\nX-A: é\200ÿ\r\n",
            "HTTP/1.1 200 X\r\nX-A: a\0b\r\n",
            "HTTP/1.1 200 X\r\nX-A: a\rb\r\n",
            "HTTP/1.1 200 X\r\nXé: a\r\n",
            "HTTP/1.1 200 X\r\nX-A: a\r\n folded\r\n",
            "HTTP/1.1 200 X\r\n: a\r\n",
            "HTTP/1.1 200 X\r\nX-A : a\r\n",
            "HTTP/1.1 200 X\r\nConnection: X-Id, X-Signature, Content-Length\r\n",
            "HTTP/1.1 200 X\r\nTransfer-Encoding: gzip\r\n",
            "HTTP/1.1 200 X\r\nTransfer-Encoding: chunked\r\n",
            "HTTP/1.1 200 X\r\nContent-Length: 0\r\n",
            "HTTP/1.1 200 X\r\nKeep-Alive: timeout=99999999999999\r\nX-Load: ,,\r\n",
            "HTTP/1.1 200 X\r\nX-A: " + "a".repeat(60_000) + "\r\n",
            "HTTP/1.1 200 X\r\nX-A: " + "a".repeat(70_000) + "\r\n");
    for (String path : List.of("/unsafe/", "/stream/")) {
      for (String start : odd) {
        awaitSoundResponse(path);
        raw =
            c ->
                c.write(
                    start
                        + "X-Id: "
                        + c.header("X-Id")
                        + "\r\n"
                        + SIGNED
                        + "Content-Length: "
                        + BODY.length()
                        + "\r\n\r\n"
                        + BODY);
        HttpReply r = call("POST", path + "raw");
        assertThat(r.complete()).as("%s", start).isTrue();
        if (r.status() == 200) {
          assertThat(r.body()).as("%s", start).isEqualTo(BODY);
          assertThat(r.header("X-Signature")).as("%s", start).isEqualTo("s");
        } else {
          assertThat(r.status()).as("%s", start).isEqualTo(502);
        }
      }
    }
  }
}
