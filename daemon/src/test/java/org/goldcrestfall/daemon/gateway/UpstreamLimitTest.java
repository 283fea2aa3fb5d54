package org.goldcrestfall.daemon.gateway;

import static org.assertj.core.api.Assertions.assertThat;
import static org.goldcrestfall.daemon.gateway.GatewayFixture.route;

import com.google.common.util.concurrent.Futures;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.Future;
import java.util.concurrent.TimeUnit;
import net.jqwik.api.Example;
import net.jqwik.api.lifecycle.AfterTry;
import net.jqwik.api.lifecycle.BeforeTry;
import org.goldcrestfall.core.gateway.RouteKind;
import org.goldcrestfall.daemon.site.SiteFixture;

/**
 * Runs three routers of one site with upstreams that limit their rate; guards against routers that
 * send more together than an upstream takes.
 */
class UpstreamLimitTest {

  private static final int ROUTERS = 3;
  private static final long RUN_MILLIS = 4_000;
  private static final double LIMIT = 2;
  private static final int MAX_TRIES = 100;

  /** What is tolerated in 4 s: one and a half times the limit, and 5 requests. */
  private static final int MAX_REQUESTS = (int) (1.5 * LIMIT * RUN_MILLIS / 1_000 + 5);

  /** Time of the answers of the upstream without a limit, which make the other one preferable. */
  private static final long SLOW_ANSWER_MILLIS = 120;

  private static final String SIGNED = "X-Signature: s\r\n";

  private final List<GatewayFixture> routers = new ArrayList<>();
  private SiteFixture site;

  @BeforeTry
  void open() throws Exception {
    site = new SiteFixture(1);
    site.put("c0", "1 mill 1000");
    for (int i = 0; i < ROUTERS; i++) {
      GatewayFixture router = new GatewayFixture(site::addresses);
      router.configure(route("/safe/", RouteKind.SAFE, 3_000, 2, false));
      router.joinSite();
      routers.add(router);
    }
  }

  @AfterTry
  void close() throws Exception {
    for (GatewayFixture r : routers) {
      r.close();
    }
    site.close();
  }

  private ScriptedUpstream addUpstream(String id, ScriptedUpstream.Script script) throws Exception {
    ScriptedUpstream u = new ScriptedUpstream(script, false);
    for (GatewayFixture r : routers) {
      r.register(id, u);
    }
    return u;
  }

  /** Sends requests to all routers, one after the other to each, and returns the responses. */
  private List<String> callAllRouters() throws Exception {
    List<String> responses = new CopyOnWriteArrayList<>();
    long endMillis = System.currentTimeMillis() + RUN_MILLIS;
    ExecutorService threads = Executors.newFixedThreadPool(ROUTERS);
    for (GatewayFixture r : routers) {
      threads.submit(
          () -> {
            while (System.currentTimeMillis() < endMillis) {
              responses.add(r.call("GET", "/safe/a", "", ""));
            }
            return null;
          });
    }
    threads.shutdown();
    assertThat(threads.awaitTermination(3 * RUN_MILLIS, TimeUnit.MILLISECONDS)).isTrue();
    return responses;
  }

  @Example
  void routersTogetherSendNoMoreThanTheStatedLimitAndUseTheOtherUpstreams() throws Exception {
    final ScriptedUpstream limited =
        addUpstream("u1", c -> c.reply(200, SIGNED + "X-Limit: " + LIMIT + "\r\n", "ok"));
    addUpstream(
        "u2",
        c -> {
          Thread.sleep(SLOW_ANSWER_MILLIS);
          c.reply(200, SIGNED, "ok");
        });
    for (GatewayFixture r : routers) {
      r.call("GET", "/safe/a", "", "");
    }
    int before = limited.calls.size();
    List<String> responses = callAllRouters();
    assertThat(responses).allMatch(r -> r.startsWith("HTTP/1.1 200 "));
    assertThat(responses.size()).isGreaterThan(4 * MAX_REQUESTS);
    assertThat(limited.calls.size() - before).isBetween(1, MAX_REQUESTS);
  }

  @Example
  void requestsBeyondTheLimitOfAllUpstreamsAreRefusedAtOnceAsNotRun() throws Exception {
    final ScriptedUpstream limited =
        addUpstream("u1", c -> c.reply(200, SIGNED + "X-Limit: " + LIMIT + "\r\n", "ok"));
    for (GatewayFixture r : routers) {
      r.call("GET", "/safe/a", "", "");
    }
    final int before = limited.calls.size();
    long startMillis = System.currentTimeMillis();
    String refused = "";
    for (int i = 0; i < MAX_TRIES && !refused.startsWith("HTTP/1.1 503 "); i++) {
      refused = routers.get(i % ROUTERS).call("GET", "/safe/a", "", "");
    }
    assertThat(System.currentTimeMillis() - startMillis).isLessThan(1_000);
    assertThat(refused).containsIgnoringCase("retry-after: ").contains("\"run\":\"not_run\"");
    List<String> responses = callAllRouters();
    assertThat(limited.calls.size() - before).isBetween((int) LIMIT, MAX_REQUESTS + 1);
    assertThat(responses).anyMatch(r -> r.startsWith("HTTP/1.1 200 "));
  }

  /** Guards against upstreams that get no work because of a header that states no rate. */
  @Example
  void limitThatIsNoRateIsIgnored() throws Exception {
    String[] value = {""};
    addUpstream("u1", c -> c.reply(200, SIGNED + "X-Limit: " + value[0] + "\r\n", "ok"));
    for (String text : List.of("-1", "NaN", "many", "")) {
      value[0] = text;
      for (int i = 0; i < 2 * ROUTERS; i++) {
        assertThat(routers.get(i % ROUTERS).call("GET", "/safe/a", "", ""))
            .as(text)
            .startsWith("HTTP/1.1 200 ");
      }
    }
  }

  @Example
  void endOfTheLimitIsKnownToAllRoutersAfterOneAnswer() throws Exception {
    boolean[] inNeed = {true};
    addUpstream(
        "u1", c -> c.reply(200, SIGNED + (inNeed[0] ? "X-Limit: " + LIMIT + "\r\n" : ""), "ok"));
    for (GatewayFixture r : routers) {
      r.call("GET", "/safe/a", "", "");
    }
    inNeed[0] = false;
    GatewayFixture.await(
        () -> {
          try {
            return routers.get(0).call("GET", "/safe/a", "", "").startsWith("HTTP/1.1 200 ");
          } catch (Exception e) {
            throw new IllegalStateException(e);
          }
        });
    // A router that was refused a permit waits until the next one was due.
    Thread.sleep((long) (1_000 / LIMIT));
    for (int i = 0; i < 20 * ROUTERS; i++) {
      assertThat(routers.get(i % ROUTERS).call("GET", "/safe/a", "", ""))
          .startsWith("HTTP/1.1 200 ");
    }
  }

  /**
   * Guards against an upstream that once took no requests and never gets one again, at a router
   * that learned of its limit as well as at one that gets its first request later (review/14).
   */
  @Example
  void upstreamThatTookNoRequestsForSomeTimeIsServedAgain() throws Exception {
    boolean[] inNeed = {true};
    ScriptedUpstream limited =
        addUpstream("u1", c -> c.reply(200, SIGNED + (inNeed[0] ? "X-Limit: 0\r\n" : ""), "ok"));
    routers.get(0).call("GET", "/safe/a", "", "");
    routers.get(1).call("GET", "/safe/a", "", "");
    final int before = limited.calls.size();
    long needEndsMillis = System.currentTimeMillis() + RUN_MILLIS;
    while (System.currentTimeMillis() < needEndsMillis) {
      routers.get(0).call("GET", "/safe/a", "", "");
      routers.get(1).call("GET", "/safe/a", "", "");
    }
    // What the rule tolerates in 4 s at a limit of 0.
    assertThat(limited.calls.size() - before).isLessThanOrEqualTo(5);
    inNeed[0] = false;
    for (GatewayFixture r : routers) {
      GatewayFixture.await(() -> Futures.getUnchecked(callAsync(r)).startsWith("HTTP/1.1 200 "));
    }
    for (int i = 0; i < 20 * ROUTERS; i++) {
      assertThat(routers.get(i % ROUTERS).call("GET", "/safe/a", "", ""))
          .startsWith("HTTP/1.1 200 ");
    }
  }

  private static Future<String> callAsync(GatewayFixture router) {
    return CompletableFuture.supplyAsync(
        () -> {
          try {
            return router.call("GET", "/safe/a", "", "");
          } catch (IOException e) {
            throw new UncheckedIOException(e);
          }
        });
  }
}
