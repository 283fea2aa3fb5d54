package org.goldcrestfall.daemon.gateway;

import static org.assertj.core.api.Assertions.assertThat;
import static org.goldcrestfall.daemon.gateway.GatewayFixture.route;

import java.io.IOException;
import java.net.Socket;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import net.jqwik.api.Example;
import net.jqwik.api.lifecycle.AfterTry;
import net.jqwik.api.lifecycle.BeforeTry;
import org.goldcrestfall.core.gateway.RouteKind;
import org.goldcrestfall.core.quarantine.ServicePart;
import org.goldcrestfall.daemon.site.SiteFixture;

/** Runs a router with upstreams that crash when they begin to answer certain prompts. */
class CrashingPromptTest {

  private static final int UPSTREAMS = 8;
  private static final String SIGNED_STREAM =
      "X-Signature: s\r\nContent-Type: text/event-stream\r\n";

  private final Set<String> crashed = ConcurrentHashMap.newKeySet();
  private SiteFixture site;
  private GatewayFixture fixture;
  private int requests;

  @BeforeTry
  void open() throws Exception {
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
      crashed.add(id);
      self.close();
      call.reset();
    } else {
      call.reply(200, SIGNED_STREAM, "id: 1\ndata: x\n\n");
    }
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
  @Example
  void requestsWithThePartThatCrashesUpstreamsAreRefusedAndSoundOnesServed() throws Exception {
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
}
