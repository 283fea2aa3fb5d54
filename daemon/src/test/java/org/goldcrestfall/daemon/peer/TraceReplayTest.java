package org.goldcrestfall.daemon.peer;

import static java.nio.charset.StandardCharsets.UTF_8;
import static org.assertj.core.api.Assertions.assertThat;

import com.google.common.base.Splitter;
import com.google.common.io.Resources;
import java.io.IOException;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import net.jqwik.api.Arbitraries;
import net.jqwik.api.Arbitrary;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.Provide;
import org.goldcrestfall.core.membership.Member;

/** Replays the trace files. The comment at the top of each file states what it guards against. */
class TraceReplayTest {

  private FakeFleet fleet;
  private final Map<String, FakeFleet.Upstream> upstreams = new HashMap<>();
  private long acceptedRevision;
  private long lastSuspicionAtMillis;

  @Provide
  Arbitrary<String> traces() {
    return Arbitraries.of(
        "leaving-while-cut-off",
        "late-announcement",
        "freeze-hides-leaving",
        "stale-control",
        "late-config-reply",
        "router-reaches-one-router",
        "long-partition-heals",
        "one-slow-link",
        "killed-and-replaced");
  }

  @Property
  void traceMeetsItsExpectations(@ForAll("traces") String name) throws IOException {
    String text =
        Resources.toString(Resources.getResource("traces/peer/" + name + ".trace"), UTF_8);
    for (String line : Splitter.on('\n').omitEmptyStrings().split(text)) {
      if (!line.startsWith("#")) {
        execute(name + ": " + line, Splitter.on(' ').splitToList(line));
      }
    }
  }

  private void execute(String line, List<String> words) {
    switch (words.get(0)) {
      case "fleet" -> start(number(words, 1), number(words, 3));
      case "upstream" -> {
        int router = words.size() > 4 ? number(words, 5) : -1;
        var u = fleet.new Upstream(words.get(1), number(words, 3), router);
        upstreams.put(words.get(1), u);
        fleet.upstreams.add(u);
      }
      case "run" -> fleet.run(number(words, 1));
      case "partition" -> fleet.partition(number(words, 1));
      case "cut" -> fleet.network.setCut(address(words, 1), address(words, 2), true);
      case "delay" ->
          fleet.network.setDelay(address(words, 1), address(words, 2), number(words, 3));
      case "heal" -> fleet.heal();
      case "freeze" -> fleet.freeze(number(words, 1), number(words, 2));
      case "kill" -> fleet.kill(number(words, 1));
      case "start" -> fleet.start(number(words, 1));
      case "isolate" -> fleet.isolated[number(words, 1)] = true;
      case "commit" -> acceptedRevision = fleet.commit();
      case "commits" -> {
        for (int i = number(words, 1); i > 0; i--) {
          acceptedRevision = fleet.commit();
          fleet.run(number(words, 3));
        }
      }
      case "leave" -> upstreams.get(words.get(1)).leave(number(words, 3));
      case "vanish" -> upstreams.get(words.get(1)).vanish();
      case "expect" -> expect(line, words.subList(1, words.size()));
      default -> throw new AssertionError("unknown: " + line);
    }
  }

  private void start(int size, long seed) {
    fleet = new FakeFleet(size, seed);
    acceptedRevision = 0;
    lastSuspicionAtMillis = 0;
    for (PeerService s : fleet.services) {
      s.addListener(
          new PeerListener() {
            @Override
            public void memberChanged(Member m) {
              if (m.status() != Member.Status.ALIVE) {
                lastSuspicionAtMillis = fleet.network.clock.nowMillis();
              }
            }
          });
    }
  }

  private void expect(String line, List<String> words) {
    if (words.get(0).equals("agreement")) {
      fleet.expectAgreement();
      return;
    }
    if (words.get(0).equals("no-suspicion")) {
      long quietMillis = fleet.network.clock.nowMillis() - lastSuspicionAtMillis;
      assertThat(quietMillis).as(line).isGreaterThan(number(words, 1));
      return;
    }
    boolean namesUpstream = words.get(0).endsWith("routed");
    int router = number(words, namesUpstream ? 2 : 1);
    PeerService s = fleet.services[router];
    switch (words.get(0)) {
      case "routed" -> assertThat(upstreams.get(words.get(1)).routableAt(router)).as(line).isTrue();
      case "not-routed" ->
          assertThat(upstreams.get(words.get(1)).routableAt(router)).as(line).isFalse();
      case "revision" -> assertThat(s.configView().revision()).as(line).isEqualTo(acceptedRevision);
      case "checked" ->
          assertThat(s.configConfirmationAgeMillis()).as(line).isLessThan(number(words, 2));
      case "unchecked" ->
          assertThat(s.configConfirmationAgeMillis()).as(line).isGreaterThan(number(words, 2));
      case "unconfirmed" -> assertThat(s.configConfirmed()).as(line).isFalse();
      case "live" ->
          assertThat(fleet.liveHostsAt(router))
              .as(line)
              .isEqualTo(new HashSet<>(words.subList(2, words.size())));
      default -> throw new AssertionError("unknown: " + line);
    }
  }

  private static int number(List<String> words, int i) {
    return Integer.parseInt(words.get(i));
  }

  private String address(List<String> words, int i) {
    return fleet.address(number(words, i));
  }
}
