package org.goldcrestfall.core.registry;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.OptionalLong;
import java.util.Random;
import net.jqwik.api.Example;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;

/** Guards against announcements that are delayed, reordered or outlive their sender. */
final class UpstreamRegistryTest {

  private static UpstreamEntry entry(
      String id, String address, UpstreamState state, long start, long sequence) {
    return new UpstreamEntry(id, "s", address, "z", state, 4, start, sequence, 0);
  }

  @Example
  void delayedReadyDoesNotReplaceDraining() {
    UpstreamRegistry r = new UpstreamRegistry();
    r.merge(entry("a", "1:1", UpstreamState.DRAINING, 10, 5), 0);
    assertThat(r.merge(entry("a", "1:1", UpstreamState.READY, 10, 4), 1)).isFalse();
    assertThat(r.find("a").state()).isEqualTo(UpstreamState.DRAINING);
  }

  @Example
  void announcementAfterDepartureIsRefusedButNewStartIsNot() {
    UpstreamRegistry r = new UpstreamRegistry();
    r.merge(entry("a", "1:1", UpstreamState.READY, 10, 5), 0);
    r.markDeparted("a", OptionalLong.of(10), 1);
    r.merge(entry("a", "1:1", UpstreamState.READY, 10, 6), 2);
    assertThat(r.find("a").state()).isEqualTo(UpstreamState.GONE);
    r.merge(entry("a", "1:1", UpstreamState.READY, 20, 1), 3);
    assertThat(r.find("a").state()).isEqualTo(UpstreamState.READY);
  }

  /**
   * Guards against an upstream that has started again under its id and gets no requests any more,
   * because the departure of its earlier incarnation arrives late (review/9).
   */
  @Example
  void lateDepartureOfEarlierIncarnationLeavesTheLaterOneInUse() {
    UpstreamRegistry r = new UpstreamRegistry();
    r.merge(entry("a", "1:1", UpstreamState.DRAINING, 10, 5), 0);
    r.merge(entry("a", "1:1", UpstreamState.READY, 20, 1), 1);
    final long changes = r.lastChangeNumber();
    UpstreamRegistry other = new UpstreamRegistry();
    other.merge(entry("a", "1:1", UpstreamState.READY, 20, 1), 1);
    other.merge(r.markDeparted("a", OptionalLong.of(10), 2), 2);
    assertThat(r.find("a").state()).isEqualTo(UpstreamState.READY);
    assertThat(other.find("a").state()).isEqualTo(UpstreamState.READY);
    assertThat(r.lastChangeNumber()).isEqualTo(changes);
    r.merge(entry("a", "1:1", UpstreamState.DRAINING, 20, 2), 3);
    assertThat(r.find("a").state()).isEqualTo(UpstreamState.DRAINING);
  }

  @Example
  void departureWithoutStartEndsTheKnownIncarnation() {
    UpstreamRegistry r = new UpstreamRegistry();
    r.merge(entry("a", "1:1", UpstreamState.READY, 10, 5), 0);
    assertThat(r.markDeparted("a", OptionalLong.empty(), 1).startedAtMillis()).isEqualTo(10);
    assertThat(r.find("a").state()).isEqualTo(UpstreamState.GONE);
  }

  @Example
  void addressBelongsToTheUpstreamThatStartedLast() {
    UpstreamRegistry r = new UpstreamRegistry();
    r.merge(entry("old", "1:1", UpstreamState.READY, 10, 5), 0);
    r.merge(entry("new", "1:1", UpstreamState.READY, 20, 1), 1);
    assertThat(r.find("old").state()).isEqualTo(UpstreamState.GONE);
    r.merge(entry("older", "1:1", UpstreamState.READY, 5, 9), 2);
    assertThat(r.find("older").state()).isEqualTo(UpstreamState.GONE);
    assertThat(r.find("new").state()).isEqualTo(UpstreamState.READY);
  }

  @Example
  void repeatedAnnouncementIsNoChange() {
    UpstreamRegistry r = new UpstreamRegistry();
    r.merge(entry("a", "1:1", UpstreamState.READY, 10, 5), 0);
    final long change = r.lastChangeNumber();
    assertThat(r.merge(entry("a", "1:1", UpstreamState.READY, 10, 6), 1)).isFalse();
    assertThat(r.lastChangeNumber()).isEqualTo(change);
    assertThat(r.changesAfter(change, 1)).isEmpty();
  }

  private static UpstreamEntry warming(long sequence, int warmupMillis) {
    return new UpstreamEntry(
        "a", "s", "1:1", "z", UpstreamState.READY, 4, 10, sequence, warmupMillis);
  }

  /** Guards against routers that do not learn that an upstream warms up anew. */
  @Example
  void laterEndOfTheWarmupIsChangeAndWhatIsLeftOfItIsPassedOn() {
    UpstreamRegistry r = new UpstreamRegistry();
    r.merge(warming(1, 3_000), 0);
    assertThat(r.merge(warming(2, 1_900), 1_200)).isFalse();
    assertThat(r.changesAfter(0, 2_000).get(0).warmupMillis()).isEqualTo(1_100);
    assertThat(r.merge(warming(3, 0), 3_600)).isFalse();
    assertThat(r.merge(warming(4, 2_500), 4_800)).isTrue();
    assertThat(r.merge(warming(3, 9_000), 4_900)).isFalse();
    assertThat(r.changesAfter(0, 9_000).get(0).warmupMillis()).isZero();
  }

  /** Guards against control daemons that never agree on the state of an upstream. */
  @Property(tries = 500, seed = "7")
  void registriesAgreeRegardlessOfArrivalOrder(@ForAll long seed) {
    Random random = new Random(seed);
    List<UpstreamEntry> entries = new ArrayList<>();
    for (int i = 0; i < 20; i++) {
      UpstreamState state = UpstreamState.values()[random.nextInt(3)];
      long start = random.nextInt(3);
      int id = random.nextInt(4);
      long sequence = state == UpstreamState.GONE ? Long.MAX_VALUE : random.nextInt(5);
      // Each upstream has its own address, because the conflict on an address has a separate test.
      entries.add(entry("u" + id, "1:" + id, state, start, sequence));
    }
    UpstreamRegistry one = new UpstreamRegistry();
    entries.forEach(e -> one.merge(e, 0));
    Collections.shuffle(entries, random);
    UpstreamRegistry two = new UpstreamRegistry();
    entries.forEach(e -> two.merge(e, 0));
    entries.forEach(e -> two.merge(e, 0));
    for (UpstreamEntry e : one.entries()) {
      assertThat(two.find(e.id()).state()).isEqualTo(e.state());
      assertThat(two.find(e.id()).startedAtMillis()).isEqualTo(e.startedAtMillis());
      assertThat(two.find(e.id()).sequence()).isEqualTo(e.sequence());
    }
  }
}
