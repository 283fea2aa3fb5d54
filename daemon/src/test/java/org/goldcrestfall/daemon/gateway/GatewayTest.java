package org.goldcrestfall.daemon.gateway;

import static org.assertj.core.api.Assertions.assertThat;
import static org.goldcrestfall.daemon.gateway.GatewayFixture.publicRoute;
import static org.goldcrestfall.daemon.gateway.GatewayFixture.route;

import com.google.common.base.Splitter;
import java.io.IOException;
import java.net.Socket;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CopyOnWriteArrayList;
import net.jqwik.api.Example;
import net.jqwik.api.lifecycle.AfterTry;
import net.jqwik.api.lifecycle.BeforeTry;
import org.goldcrestfall.core.gateway.RouteKind;
import org.goldcrestfall.core.registry.UpstreamEntry;
import org.goldcrestfall.core.registry.UpstreamState;

/** Runs a router between raw sockets; guards against wrong, duplicate, mixed and lost responses. */
class GatewayTest {

  private static final String SIGNED = "X-Signature: sig\r\n";

  private GatewayFixture fixture;

  @BeforeTry
  void open() throws Exception {
    fixture = new GatewayFixture();
    fixture.configure(
        route("/safe/", RouteKind.SAFE, 3_000, 2, false),
        route("/unsafe/", RouteKind.UNSAFE, 3_000, 1, false),
        route("/booking/", RouteKind.UNSAFE, 3_000, 2, false),
        route("/quick/", RouteKind.UNSAFE, 200, 1, false),
        route("/stream/", RouteKind.STREAMING, 3_000, 1, false),
        route("/resume/", RouteKind.STREAMING, 3_000, 2, true));
  }

  @AfterTry
  void close() throws Exception {
    fixture.close();
  }

  private static String head(ScriptedUpstream.Call c) {
    return "HTTP/1.1 200 OK\r\nX-Id: " + c.header("X-Id") + "\r\n";
  }

  @Example
  void responseIsForwardedUnchangedAndReservedHeadersOfTheCallerAreDropped() throws Exception {
    ScriptedUpstream u =
        fixture.addUpstream("u1", c -> c.reply(201, SIGNED + "X-Other: o\r\n", "hello"));
    String response =
        fixture.call(
            "POST",
            "/unsafe/a?b=c",
            "X-Workspace: forged\r\nX-Hold: 1\r\nX-Remaining: 900\r\n",
            "in");
    assertThat(response)
        .startsWith("HTTP/1.1 201 ")
        .contains("X-Other: o")
        .endsWith("\r\n\r\nhello");
    ScriptedUpstream.Call call = u.calls.get(0);
    assertThat(call.head()).startsWith("POST /unsafe/a?b=c HTTP/1.1\r\n");
    assertThat(call.body()).isEqualTo("in");
    assertThat(call.header("X-Workspace")).isEqualTo("mill");
    assertThat(call.header("X-Expect")).isEqualTo("u1");
    assertThat(call.header("X-Hold")).isEmpty();
    assertThat(call.header("Authorization")).isEmpty();
    assertThat(Integer.parseInt(call.header("X-Remaining"))).isBetween(1, 900);
  }

  @Example
  void successWithoutSignatureIsReportedAsUpstreamFailure() throws Exception {
    fixture.addUpstream("u1", c -> c.reply(200, "", "forged"));
    assertThat(fixture.call("POST", "/unsafe/a", "", "")).startsWith("HTTP/1.1 502 ");
  }

  @Example
  void unsafeRequestThatMayHaveRunIsNeitherRetriedNorReportedAsNotRun() throws Exception {
    ScriptedUpstream one = fixture.addUpstream("u1", ScriptedUpstream.Call::reset);
    ScriptedUpstream two = fixture.addUpstream("u2", ScriptedUpstream.Call::reset);
    assertThat(fixture.call("POST", "/unsafe/a", "", "")).startsWith("HTTP/1.1 502 ");
    assertThat(one.calls.size() + two.calls.size()).isEqualTo(1);
  }

  @Example
  void safeRequestIsRetriedAtAnotherUpstream() throws Exception {
    final ScriptedUpstream bad = fixture.addUpstream("u1", ScriptedUpstream.Call::reset);
    assertThat(fixture.call("GET", "/safe/a", "", "")).startsWith("HTTP/1.1 502 ");
    fixture.addUpstream("u2", c -> c.reply(200, SIGNED, "ok"));
    for (int i = 0; i < 5; i++) {
      assertThat(fixture.call("GET", "/safe/a", "", "")).startsWith("HTTP/1.1 200 ");
    }
    assertThat(bad.calls).isNotEmpty();
  }

  @Example
  void failedSafeRequestIsRetriedAndTheLastResponseIsForwarded() throws Exception {
    fixture.addUpstream("u1", c -> c.reply(500, SIGNED, "one"));
    fixture.addUpstream("u2", c -> c.reply(500, SIGNED, "two"));
    assertThat(fixture.call("GET", "/safe/a", "", "")).startsWith("HTTP/1.1 500 ");
  }

  @Example
  void rejectionByTheUpstreamIsReportedAsNotRunWithRetryAfter() throws Exception {
    fixture.addUpstream("u1", c -> c.reply(503, "X-Not-Run: 1\r\n", ""));
    String response = fixture.call("POST", "/unsafe/a", "", "");
    assertThat(response).startsWith("HTTP/1.1 503 ").containsIgnoringCase("retry-after: ");
    assertThat(response).contains("\"run\":\"not_run\"");
  }

  @Example
  void requestThatTwoUpstreamsRejectIsAnsweredWithRetryAfter() throws Exception {
    ScriptedUpstream one = fixture.addUpstream("u1", c -> c.reply(503, "X-Not-Run: 1\r\n", ""));
    ScriptedUpstream two = fixture.addUpstream("u2", c -> c.reply(429, "X-Not-Run: 1\r\n", ""));
    String response = fixture.call("GET", "/safe/a", "", "");
    assertThat(response).startsWith("HTTP/1.1 503 ").containsIgnoringCase("retry-after: ");
    assertThat(one.calls.size() + two.calls.size()).isEqualTo(2);
  }

  @Example
  void status503WithoutNotRunHeaderIsReportedAsUpstreamFailure() throws Exception {
    fixture.addUpstream("u1", c -> c.reply(503, SIGNED, ""));
    assertThat(fixture.call("POST", "/unsafe/a", "", "")).startsWith("HTTP/1.1 502 ");
  }

  /** Guards against "not run" for a request that ran, if the body is too long to be buffered. */
  @Example
  void longResponseWithStatusThatPromisesNotRunIsNotForwarded() throws Exception {
    fixture.addUpstream("u1", c -> c.reply(503, SIGNED, "b".repeat(300_000)));
    assertThat(fixture.call("POST", "/unsafe/a", "", "")).startsWith("HTTP/1.1 502 ");
  }

  @Example
  void responseToAnotherRequestIsSkipped() throws Exception {
    fixture.addUpstream(
        "u1",
        c -> {
          c.write(ScriptedUpstream.formatResponse("other", 200, SIGNED, "stray"));
          c.reply(200, SIGNED, "mine");
        });
    assertThat(fixture.call("POST", "/unsafe/a", "", "")).endsWith("mine");
  }

  /**
   * Guards against "not run" for a request that an upstream runs, and against a second run, when
   * the upstream writes an earlier refusal once more on a kept connection.
   */
  @Example
  void refusalWithoutIdOnKeptConnectionIsNotTakenForTheRequestInFlight() throws Exception {
    ScriptedUpstream.Script script =
        c -> {
          if (c.head().contains("/second")) {
            c.write("HTTP/1.1 503 X\r\nX-Not-Run: 1\r\nContent-Length: 0\r\n\r\n");
          }
          c.reply(200, SIGNED, "ran");
        };
    ScriptedUpstream one = fixture.addUpstream("u1", script);
    ScriptedUpstream two = fixture.addUpstream("u2", script);
    for (int i = 0; i < 4; i++) {
      assertThat(fixture.call("POST", "/booking/first", "", "")).startsWith("HTTP/1.1 200 ");
    }
    int before = one.calls.size() + two.calls.size();
    assertThat(fixture.call("POST", "/booking/second", "", "")).startsWith("HTTP/1.1 502 ");
    assertThat(one.calls.size() + two.calls.size()).isEqualTo(before + 1);
  }

  @Example
  void bytesAfterTheEndOfResponseNeverReachAnotherRequest() throws Exception {
    fixture.addUpstream(
        "u1",
        c -> {
          c.reply(200, SIGNED, "mine");
          c.write(head(c) + SIGNED + "Content-Length: 3\r\n\r\nbad");
        });
    for (int i = 0; i < 10; i++) {
      assertThat(fixture.call("POST", "/unsafe/a", "", "")).endsWith("mine");
    }
  }

  /** Guards against the response to an earlier request that is sent once more, late. */
  @Example
  void lateSecondCopyOnConnectionInUseAgainReachesNoOtherRequest() throws Exception {
    List<String> ids = new CopyOnWriteArrayList<>();
    List<Socket> connections = new CopyOnWriteArrayList<>();
    fixture.addUpstream(
        "u1",
        c -> {
          if (!ids.isEmpty()) {
            c.write(ScriptedUpstream.formatResponse(ids.get(ids.size() - 1), 200, SIGNED, "old"));
            Thread.sleep(50);
          }
          ids.add(c.header("X-Id"));
          connections.add(c.socket());
          c.reply(200, SIGNED, "mine");
        });
    for (int i = 0; i < 4; i++) {
      assertThat(fixture.call("POST", "/unsafe/a", "", "")).endsWith("mine");
    }
    assertThat(connections).containsOnly(connections.get(0));
  }

  /** Guards against a request that is sent on a connection whose upstream is out of step. */
  @Example
  void bytesOnIdleConnectionDoNotFailTheNextRequest() throws Exception {
    for (String bytes : List.of("odd", "HTTP/1.1 200 OK\r\n", "HTTP/1.1 200 OK\r\nX-Id: 1")) {
      fixture.addUpstream(
          "u1",
          c -> {
            c.reply(200, SIGNED, "mine");
            Thread.sleep(50);
            c.write(bytes);
          });
      for (int i = 0; i < 2; i++) {
        assertThat(fixture.call("POST", "/unsafe/a", "", "")).as(bytes).endsWith("mine");
        Thread.sleep(150);
      }
    }
  }

  /** The first read of a connection takes 2 KiB, so that the bytes after them are not seen yet. */
  @Example
  void bytesAfterResponseThatFillsTheReadBufferDoNotReachTheNextRequest() throws Exception {
    int headLength = ScriptedUpstream.formatResponse("1", 200, SIGNED, "b".repeat(1_000)).length();
    String content = "b".repeat(1_000 + 2_048 - headLength);
    ScriptedUpstream u =
        fixture.addUpstream(
            "u1",
            c -> {
              String id = c.header("X-Id");
              String rest = id.equals("1") ? "x y z\r\n\r\n" : "";
              c.write(ScriptedUpstream.formatResponse(id, 200, SIGNED, content) + rest);
            });
    String request =
        "POST /unsafe/a HTTP/1.1\r\nHost: h\r\nX-Id: %s\r\nAuthorization: Token k\r\n"
            + "Connection: %s\r\nContent-Length: 0\r\n\r\n";
    try (Socket socket = fixture.connect()) {
      String responses =
          GatewayFixture.sendRaw(
              socket, request.formatted("1", "keep-alive") + request.formatted("2", "close"));
      assertThat(responses.split("HTTP/1.1 200 ", -1)).hasSize(3);
    }
    assertThat(u.calls).hasSize(2);
  }

  /** An upstream may respond early and read the rest of the body later on the same connection. */
  @Example
  void earlyResponseIsForwardedAndTheRequestBodyIsStillSentCompletely() throws Exception {
    ScriptedUpstream u =
        fixture.addEarlyRespondingUpstream("u1", c -> c.reply(200, SIGNED, "early"));
    String first = "a".repeat(400_000);
    String second = "b".repeat(400_000);
    assertThat(fixture.call("POST", "/unsafe/a", "", first)).endsWith("early");
    assertThat(fixture.call("POST", "/unsafe/b", "", second)).endsWith("early");
    GatewayFixture.await(() -> u.calls.size() == 2);
    assertThat(u.calls).extracting(ScriptedUpstream.Call::body).contains(first, second);
  }

  @Example
  void truncatedResponseIsReportedAsUpstreamFailure() throws Exception {
    fixture.addUpstream(
        "u1",
        c -> {
          c.write(head(c) + SIGNED + "Content-Length: 50\r\n\r\nhalf");
          c.socket().close();
        });
    assertThat(fixture.call("POST", "/unsafe/a", "", "")).startsWith("HTTP/1.1 502 ");
  }

  @Example
  void responseWithoutLengthEndsWhenTheConnectionIsClosed() throws Exception {
    fixture.addUpstream(
        "u1",
        c -> {
          c.write(head(c) + SIGNED + "\r\nall of it");
          c.socket().close();
        });
    assertThat(fixture.call("POST", "/unsafe/a", "", ""))
        .startsWith("HTTP/1.1 200 ")
        .endsWith("all of it");
  }

  @Example
  void resetDuringResponseWithoutLengthIsReportedAsUpstreamFailure() throws Exception {
    fixture.addUpstream(
        "u1",
        c -> {
          c.write(head(c) + SIGNED + "\r\npart");
          Thread.sleep(100);
          c.reset();
        });
    assertThat(fixture.call("POST", "/unsafe/a", "", "")).startsWith("HTTP/1.1 502 ");
  }

  private static void stream(ScriptedUpstream.Call c, String events) throws IOException {
    c.write(
        head(c)
            + SIGNED
            + "Transfer-Encoding: chunked\r\n\r\n"
            + Integer.toHexString(events.length())
            + "\r\n"
            + events
            + "\r\n");
  }

  @Example
  void brokenStreamIsResumedAfterItsLastCompleteEvent() throws Exception {
    ScriptedUpstream.Script script =
        c -> {
          String last = c.header("Last-Event-Id");
          if (last.isEmpty()) {
            stream(c, "id: 1\ndata: a\n\nid: 2\ndata: b\n\nid: 3\nda");
            Thread.sleep(100);
            c.reset();
          } else {
            stream(c, "id: 3\ndata: c after " + last + "\n\n");
            c.write("0\r\n\r\n");
          }
        };
    fixture.addUpstream("u1", script);
    fixture.addUpstream("u2", script);
    String response = fixture.call("POST", "/resume/a", "", "");
    assertThat(response).contains("id: 2\ndata: b\n\n").contains("id: 3\ndata: c after 2\n\n");
    assertThat(response).doesNotContain("id: 3\nda\r\n").endsWith("0\r\n\r\n");
  }

  /**
   * Guards against the time to the first byte being taken from the response as a whole, which would
   * be too short for the second upstream of a resumed stream.
   */
  @Example
  void firstByteTimeOfResumedStreamIsMeasuredForEachAttempt() throws Exception {
    ScriptedUpstream.Script script =
        c -> {
          if (c.header("Last-Event-Id").isEmpty()) {
            stream(c, "id: 1\ndata: a\n\n");
            Thread.sleep(400);
            c.reset();
          } else {
            stream(c, "id: 2\ndata: b\n\n");
            c.write("0\r\n\r\n");
          }
        };
    fixture.addUpstream("u1", script);
    fixture.addUpstream("u2", script);
    assertThat(fixture.call("POST", "/resume/a", "X-Tokens: 60,10\r\n", "")).contains("id: 2");
    fixture.runOnLoop(
        () ->
            fixture
                .gateway
                .upstreams()
                .all()
                .forEach(
                    u -> assertThat(u.load().latencyRatio(fixture.gateway.now())).isPositive()));
  }

  @Example
  void brokenStreamThatIsNotResumableDoesNotLookComplete() throws Exception {
    ScriptedUpstream.Script script =
        c -> {
          stream(c, "id: 1\ndata: a\n\n");
          Thread.sleep(100);
          c.reset();
        };
    ScriptedUpstream one = fixture.addUpstream("u1", script);
    ScriptedUpstream two = fixture.addUpstream("u2", script);
    String response = fixture.call("POST", "/stream/a", "", "");
    assertThat(response).contains("id: 1").doesNotEndWith("0\r\n\r\n");
    assertThat(one.calls.size() + two.calls.size()).isEqualTo(1);
  }

  /** Sends a stream that ends inside its second event, in one of the forms that a body can have. */
  private static void endInsideAnEvent(ScriptedUpstream.Call c, String framing) throws IOException {
    String events = "id: 1\ndata: a\n\nid: 2\nda";
    switch (framing) {
      case "chunks" -> {
        stream(c, events);
        c.write("0\r\n\r\n");
      }
      case "length" -> c.reply(200, SIGNED, events);
      default -> {
        c.write(head(c) + SIGNED + "\r\n" + events);
        c.socket().close();
      }
    }
  }

  /**
   * Guards against answers that broke off and reached the caller as a complete success: a stream
   * without a length or chunks ends with its connection, also if its upstream has crashed.
   */
  @Example
  void streamThatEndsInsideAnEventDoesNotLookComplete() throws Exception {
    for (String framing : List.of("chunks", "length", "none")) {
      String id = "u-" + framing;
      fixture.addUpstream(id, c -> endInsideAnEvent(c, framing));
      String response = fixture.call("POST", "/stream/a", "", "");
      assertThat(response).as(framing).contains("id: 1").doesNotContain("id: 2");
      assertThat(response).as(framing).doesNotEndWith("0\r\n\r\n");
      fixture.runOnLoop(
          () -> fixture.gateway.upstreamChanged(fixture.entry(id, UpstreamState.GONE)));
    }
  }

  @Example
  void resumableStreamThatEndsInsideAnEventIsResumed() throws Exception {
    ScriptedUpstream.Script script =
        c -> {
          if (c.header("Last-Event-Id").isEmpty()) {
            endInsideAnEvent(c, "none");
          } else {
            stream(c, "id: 2\ndata: b\n\n");
            c.write("0\r\n\r\n");
          }
        };
    fixture.addUpstream("u1", script);
    fixture.addUpstream("u2", script);
    assertThat(fixture.call("POST", "/resume/a", "", ""))
        .contains("id: 1\ndata: a\n\n")
        .contains("id: 2\ndata: b\n\n")
        .endsWith("0\r\n\r\n");
  }

  /**
   * Guards against the text of an error in the middle of a stream, and against a stream that ends
   * as if it were complete, when the upstream that is to resume it answers with an error.
   */
  @Example
  void streamIsCutOffIfTheNextUpstreamDoesNotResumeIt() throws Exception {
    List<String> answers =
        List.of(
            "500 X|X-Signature: sig\r\nContent-Type: text/plain\r\n|the error\n\n",
            "404 X|X-Signature: sig\r\n|id: 9\ndata: the error\n\n",
            "503 X|X-Not-Run: 1\r\n|the error\n\n",
            "200 X||the error\n\n",
            "200 X|X-Signature: sig\r\nContent-Type: text/html\r\n|the error\n\n",
            "202 X|X-Signature: sig\r\n|the error\n\n",
            "204 X|X-Signature: sig\r\n|");
    for (String answer : answers) {
      List<String> parts = Splitter.on('|').splitToList(answer);
      ScriptedUpstream.Script script =
          c -> {
            if (c.header("Last-Event-Id").isEmpty()) {
              stream(c, "id: 1\ndata: a\n\n");
              Thread.sleep(100);
              c.reset();
              return;
            }
            String length =
                parts.get(2).isEmpty() ? "" : "Content-Length: " + parts.get(2).length();
            c.write(
                "HTTP/1.1 "
                    + parts.get(0)
                    + "\r\nX-Id: "
                    + c.header("X-Id")
                    + "\r\n"
                    + parts.get(1)
                    + length
                    + (length.isEmpty() ? "" : "\r\n")
                    + "\r\n"
                    + parts.get(2));
          };
      fixture.addUpstream("u1", script);
      fixture.addUpstream("u2", script);
      String response = fixture.call("POST", "/resume/a", "", "");
      assertThat(response).as(answer).startsWith("HTTP/1.1 200 ").contains("id: 1\ndata: a\n\n");
      assertThat(response).as(answer).doesNotContain("the error").doesNotEndWith("0\r\n\r\n");
      assertThat(response.indexOf("HTTP/1.1"))
          .as(answer)
          .isEqualTo(response.lastIndexOf("HTTP/1.1"));
      for (String id : List.of("u1", "u2")) {
        fixture.runOnLoop(
            () -> fixture.gateway.upstreamChanged(fixture.entry(id, UpstreamState.GONE)));
      }
    }
  }

  @Example
  void streamThatBreaksBeforeItsFirstCompleteEventIsReportedAsUpstreamFailure() throws Exception {
    fixture.addUpstream(
        "u1",
        c -> {
          stream(c, "id: 1\nda");
          Thread.sleep(100);
          c.reset();
        });
    assertThat(fixture.call("POST", "/stream/a", "", "")).startsWith("HTTP/1.1 502 ");
  }

  @Example
  void attemptAtUnresponsiveUpstreamEndsAtTheTimeoutOfTheRoute() throws Exception {
    ScriptedUpstream u = fixture.addUpstream("u1", c -> Thread.sleep(5_000));
    assertThat(fixture.call("POST", "/quick/a", "", "")).startsWith("HTTP/1.1 504 ");
    assertThat(u.calls).hasSize(1);
  }

  @Example
  void disconnectOfTheCallerClosesTheUpstreamConnection() throws Exception {
    ScriptedUpstream u =
        fixture.addUpstream(
            "u1",
            c -> {
              stream(c, "id: 1\ndata: a\n\n");
              c.socket().getInputStream().read();
              throw new IOException("closed by the router");
            });
    try (Socket socket = fixture.connect()) {
      socket
          .getOutputStream()
          .write(
              ("POST /stream/a HTTP/1.1\r\nHost: h\r\nX-Id: 7\r\nAuthorization: Token k\r\n"
                      + "Content-Length: 0\r\n\r\n")
                  .getBytes());
      assertThat(socket.getInputStream().read()).isPositive();
    }
    GatewayFixture.await(() -> u.closedByPeer.size() == 1);
  }

  @Example
  void requestWithContentLengthAndChunkedEncodingIsRefused() throws Exception {
    ScriptedUpstream u = fixture.addUpstream("u1", c -> c.reply(200, SIGNED, "ok"));
    try (Socket socket = fixture.connect()) {
      String response =
          GatewayFixture.sendRaw(
              socket,
              "POST /unsafe/a HTTP/1.1\r\nHost: h\r\nX-Id: 7\r\nAuthorization: Token k\r\n"
                  + "Content-Length: 4\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n"
                  + "POST /unsafe/smuggled HTTP/1.1\r\nHost: h\r\nX-Id: 8\r\n"
                  + "Authorization: Token k\r\nContent-Length: 0\r\n\r\n");
      assertThat(response).startsWith("HTTP/1.1 400 ");
    }
    assertThat(u.calls).isEmpty();
  }

  @Example
  void upstreamThatAnswersMisdirectedIsRemoved() throws Exception {
    ScriptedUpstream wrong = fixture.addUpstream("u1", c -> c.reply(421, "", ""));
    assertThat(fixture.call("POST", "/unsafe/a", "", "")).startsWith("HTTP/1.1 503 ");
    assertThat(fixture.call("POST", "/unsafe/a", "", "")).startsWith("HTTP/1.1 503 ");
    assertThat(wrong.calls).hasSize(1);
  }

  @Example
  void unknownKeyUnknownRouteAndMissingUpstreamHaveDifferentStatuses() throws Exception {
    String unknownKey =
        "GET /safe/a HTTP/1.1\r\nHost: h\r\nX-Id: 7\r\nAuthorization: Token other\r\n"
            + "Connection: close\r\n\r\n";
    try (Socket socket = fixture.connect()) {
      assertThat(GatewayFixture.sendRaw(socket, unknownKey)).startsWith("HTTP/1.1 401 ");
    }
    assertThat(fixture.call("GET", "/nowhere", "", "")).startsWith("HTTP/1.1 404 ");
    assertThat(fixture.call("GET", "/safe/a", "", ""))
        .startsWith("HTTP/1.1 503 ")
        .containsIgnoringCase("retry-after: ");
  }

  /** Guards against a last workspace whose end opens all routes, also on open connections. */
  @Example
  void nobodyIsServedOnceTheLastWorkspaceIsTakenAway() throws Exception {
    ScriptedUpstream u = fixture.addUpstream("u1", c -> c.reply(200, SIGNED, "ok"));
    String head = "GET /safe/a HTTP/1.1\r\nHost: h\r\nX-Id: 7\r\n";
    try (Socket open = fixture.connect()) {
      GatewayFixture.send(open, head + "Authorization: Token k\r\n\r\n");
      GatewayFixture.await(() -> u.calls.size() == 1);
      fixture.configure(Optional.of(List.of()), route("/safe/", RouteKind.SAFE, 3_000, 2, false));
      String rest =
          GatewayFixture.sendRaw(
              open, head + "Authorization: Token k\r\nConnection: close\r\n\r\n");
      assertThat(rest).startsWith("HTTP/1.1 200 ").contains("HTTP/1.1 401 ");
    }
    for (String key : List.of("", "Authorization: Token other\r\n")) {
      try (Socket socket = fixture.connect()) {
        assertThat(GatewayFixture.sendRaw(socket, head + key + "Connection: close\r\n\r\n"))
            .startsWith("HTTP/1.1 401 ");
      }
    }
    assertThat(u.calls).hasSize(1);
  }

  /** Guards against keys that upstreams are shown, as on a public route without workspaces. */
  @Example
  void keysArePassedOnOnlyIfTheConfigurationNeedsNone() throws Exception {
    ScriptedUpstream u = fixture.addUpstream("u1", c -> c.reply(200, SIGNED, "ok"));
    fixture.configure(Optional.empty(), route("/safe/", RouteKind.SAFE, 3_000, 2, false));
    assertThat(fixture.call("GET", "/safe/a", "", "")).startsWith("HTTP/1.1 200 ");
    assertThat(u.calls.get(0).head()).containsIgnoringCase("authorization: Token k");
    fixture.configure(Optional.of(List.of()), publicRoute("/safe/", RouteKind.SAFE, 3_000, 2));
    assertThat(fixture.call("GET", "/safe/a", "", "")).startsWith("HTTP/1.1 200 ");
    assertThat(u.calls.get(1).head()).doesNotContainIgnoringCase("authorization");
  }

  /** Guards against a closed connection in place of a response. */
  @Example
  void upstreamWhoseAddressCannotBeConnectedToIsIgnored() throws Exception {
    for (String address : List.of("127.0.0.1:99999", "no-port", "")) {
      var odd = new UpstreamEntry("odd", "s", address, "z", UpstreamState.READY, 4, 1, 1, 0);
      fixture.runOnLoop(() -> fixture.gateway.upstreamChanged(odd));
      assertThat(fixture.call("POST", "/unsafe/a", "", "")).as(address).startsWith("HTTP/1.1 503 ");
    }
  }

  @Example
  void drainingRouterRespondsWithConnectionClose() throws Exception {
    fixture.addUpstream("u1", c -> c.reply(200, SIGNED, "ok"));
    try (Socket socket = fixture.connect()) {
      fixture.startDraining(3_000, 8_000);
      assertThat(fixture.gateway.isReady()).isFalse();
      String response =
          GatewayFixture.sendRaw(
              socket,
              "GET /safe/a HTTP/1.1\r\nHost: h\r\nX-Id: 7\r\nAuthorization: Token k\r\n\r\n");
      assertThat(response).startsWith("HTTP/1.1 200 ").containsIgnoringCase("connection: close");
    }
  }

  @Example
  void pipelinedRequestWaitsForTheResponseToTheFirst() throws Exception {
    fixture.addUpstream("u1", c -> c.reply(200, SIGNED, c.head().contains("/one") ? "1st" : "2nd"));
    try (Socket socket = fixture.connect()) {
      String head = " HTTP/1.1\r\nHost: h\r\nX-Id: 7\r\nAuthorization: Token k\r\n";
      String response =
          GatewayFixture.sendRaw(
              socket,
              "GET /safe/one" + head + "\r\nGET /safe/two" + head + "Connection: close\r\n\r\n");
      assertThat(response.indexOf("1st")).isPositive().isLessThan(response.indexOf("2nd"));
    }
  }
}
