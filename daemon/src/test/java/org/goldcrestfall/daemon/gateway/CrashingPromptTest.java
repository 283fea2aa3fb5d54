package org.goldcrestfall.daemon.gateway;

import static org.assertj.core.api.Assertions.assertThat;
import static org.goldcrestfall.daemon.gateway.GatewayFixture.route;

import com.google.common.util.concurrent.Uninterruptibles;
import java.io.IOException;
import java.net.Socket;
import java.util.List;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.TimeUnit;
import net.jqwik.api.Example;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.lifecycle.AfterTry;
import net.jqwik.api.lifecycle.BeforeTry;
import org.goldcrestfall.core.gateway.RouteKind;
import org.goldcrestfall.core.quarantine.ServicePart;
import org.goldcrestfall.core.registry.UpstreamState;
import org.goldcrestfall.daemon.site.SiteFixture;

/** Runs a router with upstreams that crash while they answer certain prompts. */
class CrashingPromptTest {

  private static final int UPSTREAMS = 8;
  private static final String SIGNED_STREAM =
      "X-Signature: s\r\nContent-Type: text/event-stream\r\n";

  private static final String EVENT = "id: 1\ndata: x\n\n";

  /** At which point of an answer an upstream crashes. */
  private enum CrashPoint {
    BEFORE_THE_ANSWER,
    AFTER_ONE_EVENT,
    AFTER_MANY_EVENTS,
    AFTER_THE_END
  }

  private final Set<String> crashed = ConcurrentHashMap.newKeySet();
  private CrashPoint crashPoint = CrashPoint.BEFORE_THE_ANSWER;
  private SiteFixture site;
  private GatewayFixture fixture;
  private int requests;

  @BeforeTry
  void open() throws Exception {
    crashed.clear();
    site = new SiteFixture(1);
    site.put("c0", "1 mill 1000");
    fixture = new GatewayFixture(site::addresses);
    fixture.configure(
        route("/once/", RouteKind.STREAMING, 3_000, 1, false),
        route("/resume/", RouteKind.STREAMING, 3_000, 3, true));
    fixture.joinSite();
    for (int i = 0; i < UPSTREAMS; i++) {
      String id = "u" + i;
      ScriptedUpstream[] self = new ScriptedUpstream[1];
      self[0] = fixture.addUpstream(id, c -> answerOrCrash(c, id, self[0]));
    }
  }

  @AfterTry
  void close() throws Exception {
    fixture.close();
    site.close();
  }

  private void answerOrCrash(ScriptedUpstream.Call call, String id, ScriptedUpstream self)
      throws IOException {
    if (call.header("X-Parts").contains("bad:")) {
      writeUntilCrash(call);
      crashed.add(id);
      self.close();
      call.reset();
    } else {
      call.reply(200, SIGNED_STREAM, EVENT);
    }
  }

  private void writeUntilCrash(ScriptedUpstream.Call call) throws IOException {
    switch (crashPoint) {
      case AFTER_ONE_EVENT -> call.write(chunkedHead(call) + chunk(EVENT));
      case AFTER_MANY_EVENTS -> {
        call.write(chunkedHead(call));
        for (int i = 0; i < 20; i++) {
          call.write(chunk(EVENT));
          Uninterruptibles.sleepUninterruptibly(5, TimeUnit.MILLISECONDS);
        }
      }
      case AFTER_THE_END -> call.write(chunkedHead(call) + chunk(EVENT) + "0\r\n\r\n");
      default -> {
        return;
      }
    }
    // A reset takes back what the router has not read yet.
    Uninterruptibles.sleepUninterruptibly(20, TimeUnit.MILLISECONDS);
  }

  private static String chunkedHead(ScriptedUpstream.Call call) {
    return "HTTP/1.1 200 X\r\nX-Id: "
        + call.header("X-Id")
        + "\r\n"
        + SIGNED_STREAM
        + "Transfer-Encoding: chunked\r\n\r\n";
  }

  private static String chunk(String text) {
    return Integer.toHexString(text.length()) + "\r\n" + text + "\r\n";
  }

  private String call(String path, String middlePart) throws Exception {
    String parts = "mill:10," + middlePart + ":10,own" + ++requests + ":10";
    // Crashes that follow each other more quickly count as simultaneous.
    Thread.sleep(120);
    return fixture.call("POST", path, "X-Tokens: 30,5\r\nX-Parts: " + parts + "\r\n", "");
  }

  /** Waits until the router knows all crashes, which it does not learn from the requests. */
  private void awaitReports() {
    GatewayFixture.await(
        () -> {
          var bad = fixture.gateway.quarantine().view().parts().get(new ServicePart("s", "bad"));
          return bad != null && bad.upstreams().size() == crashed.size();
        });
  }

  /**
   * Guards against requests of one kind that crash one upstream after the other: after the fifth
   * crash no further request with the part may be sent.
   */
  @Property
  void requestsWithThePartThatCrashesUpstreamsAreRefusedAndSoundOnesServed(@ForAll CrashPoint point)
      throws Exception {
    crashPoint = point;
    for (int i = 0; i < 10; i++) {
      call("/once/a", "bad");
      awaitReports();
      assertThat(call("/once/a", "plan")).startsWith("HTTP/1.1 200 ");
    }
    assertThat(crashed).hasSizeLessThanOrEqualTo(5);
    assertThat(call("/once/a", "bad"))
        .startsWith("HTTP/1.1 503 ")
        .containsIgnoringCase("retry-after: ")
        .contains("prompt_quarantined")
        .contains("\"run\":\"not_run\"");
  }

  /** Guards against requests without an id that stop the reports of crashes for good. */
  @Example
  void requestWithoutAnIdIsAnsweredAndTheReportsGoOn() throws Exception {
    for (int i = 0; i < 3; i++) {
      try (Socket socket = fixture.connect()) {
        String request =
            "POST /once/a HTTP/1.1\r\nHost: h\r\nAuthorization: Token k\r\nConnection: close\r\n"
                + "X-Tokens: 30,5\r\nX-Parts: mill:10,bad:10,own:10\r\nContent-Length: 0\r\n\r\n";
        assertThat(GatewayFixture.sendRaw(socket, request)).startsWith("HTTP/1.1 502 ");
      }
    }
    for (int i = 0; i < 5; i++) {
      call("/once/a", "bad");
      awaitReports();
    }
    assertThat(call("/once/a", "bad")).startsWith("HTTP/1.1 503 ").contains("prompt_quarantined");
    assertThat(crashed).hasSizeLessThanOrEqualTo(6);
  }

  /**
   * Guards against one request that crashes upstream after upstream, as its stream is resumed after
   * each crash.
   */
  @Example
  void streamIsNotResumedAgainAfterTwoUpstreamsCrashedUnderIt() throws Exception {
    crashPoint = CrashPoint.AFTER_MANY_EVENTS;
    call("/resume/a", "bad");
    awaitReports();
    assertThat(crashed).hasSize(2);
  }

  /**
   * Guards against repeats that crash one upstream after the other: a prompt under which another
   * upstream crashed before is not repeated.
   */
  @Example
  void requestIsNotRepeatedIfAnotherUpstreamCrashedUnderItsPrompt() throws Exception {
    call("/once/a", "bad");
    awaitReports();
    // Clears the part that both kinds of requests have.
    assertThat(call("/once/a", "plan")).startsWith("HTTP/1.1 200 ");
    assertThat(crashed).hasSize(1);
    assertThat(call("/resume/a", "bad")).startsWith("HTTP/1.1 502 ");
    assertThat(crashed).hasSize(2);
  }

  private int knownParts() {
    return fixture.gateway.quarantine().view().parts().size();
  }

  /** Loses the answers of three requests, while their upstreams go on to accept connections. */
  private List<String> loseAnswers() throws Exception {
    List<String> reset = new CopyOnWriteArrayList<>();
    fixture.removeUpstreams();
    for (int i = 0; i < 3; i++) {
      String id = "v" + i;
      fixture.addUpstream(
          id,
          c -> {
            reset.add(id);
            c.reset();
          });
    }
    for (int i = 0; i < 3; i++) {
      call("/once/a", "plan");
    }
    return reset;
  }

  /**
   * Guards against crashes that go unnoticed because the upstream has started again before its
   * address is found closed.
   */
  @Example
  void upstreamThatStartsAgainAtOnceIsKnownToHaveCrashed() throws Exception {
    for (String id : Set.copyOf(loseAnswers())) {
      fixture.restart(id);
    }
    GatewayFixture.await(() -> knownParts() > 0);
  }

  /** Guards against holding back sound prompts that an upstream in trouble has reset. */
  @Example
  void upstreamThatResetsConnectionsAndLivesOnBlamesNoPart() throws Exception {
    loseAnswers();
    Thread.sleep(500);
    assertThat(knownParts()).isZero();
  }

  /** Guards against holding back sound prompts whose upstream has ended as planned. */
  @Example
  void upstreamThatLeavesBlamesNoPart() throws Exception {
    fixture.removeUpstreams();
    ScriptedUpstream[] last = new ScriptedUpstream[1];
    last[0] =
        fixture.addUpstream(
            "w",
            c -> {
              fixture.runOnLoop(
                  () ->
                      fixture.gateway.upstreamChanged(fixture.entry("w", UpstreamState.DRAINING)));
              last[0].close();
              c.reset();
            });
    assertThat(call("/once/a", "plan")).startsWith("HTTP/1.1 502 ");
    Thread.sleep(500);
    assertThat(knownParts()).isZero();
  }
}
