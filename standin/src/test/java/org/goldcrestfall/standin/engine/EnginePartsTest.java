package org.goldcrestfall.standin.engine;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.List;
import net.jqwik.api.Example;
import org.goldcrestfall.core.common.ManualClock;
import org.goldcrestfall.core.routing.PrefixHasher;

/** Guards the behaviour that the routers are measured against. */
class EnginePartsTest {

  @Example
  void freeSlotGoesToTheHighestPriorityThenTheEarliest() {
    BatchScheduler scheduler = new BatchScheduler(1);
    List<String> order = new ArrayList<>();
    BatchScheduler.SlotRequest running = submit(scheduler, order, "running", 0);
    final BatchScheduler.SlotRequest patient = submit(scheduler, order, "patient", 1);
    final BatchScheduler.SlotRequest quick = submit(scheduler, order, "quick", 9);
    final BatchScheduler.SlotRequest later = submit(scheduler, order, "later", 9);
    scheduler.release(running);
    scheduler.release(quick);
    scheduler.release(later);
    scheduler.release(patient);
    assertThat(order).containsExactly("running", "quick", "later", "patient");
    assertThat(scheduler.load()).isEqualTo(new BatchScheduler.Load(0, 0, 1));
  }

  @Example
  void cancelledRequestFreesItsSlotOnceAndLeavesTheQueue() {
    BatchScheduler scheduler = new BatchScheduler(2);
    List<String> order = new ArrayList<>();
    BatchScheduler.SlotRequest first = submit(scheduler, order, "first", 0);
    submit(scheduler, order, "second", 0);
    BatchScheduler.SlotRequest waiting = submit(scheduler, order, "waiting", 0);
    scheduler.release(waiting);
    scheduler.release(first);
    scheduler.release(first);
    assertThat(order).containsExactly("first", "second");
    assertThat(scheduler.load()).isEqualTo(new BatchScheduler.Load(1, 0, 2));
  }

  private static BatchScheduler.SlotRequest submit(
      BatchScheduler scheduler, List<String> order, String name, int priority) {
    BatchScheduler.SlotRequest ticket = new BatchScheduler.SlotRequest(priority);
    ticket.admitted().thenRun(() -> order.add(name));
    scheduler.submit(ticket);
    return ticket;
  }

  @Example
  void cacheCountsTheSharedPrefixAndEvictsTheLeastRecentlyUsed() {
    ManualClock clock = new ManualClock(0);
    PrefixCache cache = new PrefixCache(clock, 4 * PrefixHasher.BLOCK_TOKENS, 700, 0, 1);
    String shared = "s".repeat(2 * PrefixHasher.BLOCK_BYTES);
    assertThat(cache.lookUpAndStore("m", shared + "a".repeat(PrefixHasher.BLOCK_BYTES))).isZero();
    assertThat(cache.lookUpAndStore("m", shared + "b".repeat(PrefixHasher.BLOCK_BYTES)))
        .isEqualTo(2 * PrefixHasher.BLOCK_TOKENS);
    assertThat(cache.lookUpAndStore("other", shared)).isZero();
    assertThat(cache.lookUpAndStore("m", "s".repeat(PrefixHasher.BLOCK_BYTES))).isZero();
  }

  @Example
  void cacheEventsArePublishedAfterTheirDelayWithGapsInTheSequence() {
    ManualClock clock = new ManualClock(0);
    PrefixCache cache = new PrefixCache(clock, 1 << 20, 700, 0.3, 5);
    cache.lookUpAndStore("m", "x".repeat(100 * PrefixHasher.BLOCK_BYTES));
    assertThat(cache.takeEvents(1000)).isEmpty();
    clock.advance(700);
    List<PrefixCache.Event> events = cache.takeEvents(1000);
    assertThat(events)
        .hasSizeBetween(50, 90)
        .isSortedAccordingTo(java.util.Comparator.comparingLong(PrefixCache.Event::sequence));
    assertThat(PrefixHasher.hash("m", "x".repeat(100 * PrefixHasher.BLOCK_BYTES)))
        .contains(PrefixHasher.parse(events.get(0).prefix()));
  }

  @Example
  void loadReportLagsAndStatesItsAge() {
    ManualClock clock = new ManualClock(0);
    LoadHistory history = new LoadHistory(clock, 500);
    for (int running = 0; running < 20; running++) {
      history.sample(new BatchScheduler.Load(running, 0, 32));
      clock.advance(100);
    }
    LoadHistory.Report report = history.report();
    assertThat(report.load().running()).isEqualTo(15);
    assertThat(report.ageMillis()).isEqualTo(500);
  }

  @Example
  void oldFencingNumberIsRefusedOnlyWhereItIsChecked() {
    OrderHandler checking = new OrderHandler(true, List.of("hull-1"));
    assertThat(checking.apply("a", 5, "load", "hull-2").accepted()).isTrue();
    assertThat(checking.apply("b", 4, "unload", "hull-1").accepted()).isFalse();
    assertThat(checking.models()).containsExactly("hull-1", "hull-2");
    OrderHandler unchecked = new OrderHandler(false, List.of("hull-1"));
    assertThat(unchecked.apply("a", 5, "load", "hull-2").accepted()).isTrue();
    assertThat(unchecked.apply("b", 4, "unload", "hull-1").accepted()).isTrue();
    assertThat(unchecked.models()).containsExactly("hull-2");
  }
}
