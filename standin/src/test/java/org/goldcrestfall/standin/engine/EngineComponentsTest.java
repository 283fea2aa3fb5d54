package org.goldcrestfall.standin.engine;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.List;
import net.jqwik.api.Example;
import org.goldcrestfall.core.common.ManualClock;
import org.goldcrestfall.core.routing.PrefixHasher;

/** Tests the parts of the stand-in engine, on whose behavior measurements of routers rely. */
class EngineComponentsTest {

  @Example
  void freeSlotGoesToTheHighestPriorityThenTheEarliest() {
    BatchScheduler scheduler = new BatchScheduler(1);
    List<String> admissionOrder = new ArrayList<>();
    BatchScheduler.SlotRequest running = submit(scheduler, admissionOrder, "running", 0);
    final BatchScheduler.SlotRequest patient = submit(scheduler, admissionOrder, "patient", 1);
    final BatchScheduler.SlotRequest quick = submit(scheduler, admissionOrder, "quick", 9);
    final BatchScheduler.SlotRequest later = submit(scheduler, admissionOrder, "later", 9);
    scheduler.release(running);
    scheduler.release(quick);
    scheduler.release(later);
    scheduler.release(patient);
    assertThat(admissionOrder).containsExactly("running", "quick", "later", "patient");
    assertThat(scheduler.load()).isEqualTo(new BatchScheduler.Load(0, 0, 1));
  }

  @Example
  void cancelledRequestFreesItsSlotOnceAndLeavesTheQueue() {
    BatchScheduler scheduler = new BatchScheduler(2);
    List<String> admissionOrder = new ArrayList<>();
    BatchScheduler.SlotRequest first = submit(scheduler, admissionOrder, "first", 0);
    submit(scheduler, admissionOrder, "second", 0);
    BatchScheduler.SlotRequest waiting = submit(scheduler, admissionOrder, "waiting", 0);
    scheduler.release(waiting);
    scheduler.release(first);
    scheduler.release(first);
    assertThat(admissionOrder).containsExactly("first", "second");
    assertThat(scheduler.load()).isEqualTo(new BatchScheduler.Load(1, 0, 2));
  }

  private static BatchScheduler.SlotRequest submit(
      BatchScheduler scheduler, List<String> admissionOrder, String name, int priority) {
    BatchScheduler.SlotRequest slotRequest = new BatchScheduler.SlotRequest(priority);
    slotRequest.admitted().thenRun(() -> admissionOrder.add(name));
    scheduler.submit(slotRequest);
    return slotRequest;
  }

  @Example
  void cacheReturnsTheSharedPrefixAndEvictsTheLeastRecentlyUsedBlock() {
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
  void loadReportLagsAndHasTheAgeOfItsSample() {
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
  void oldFencingNumberIsRefusedOnlyIfFencingIsChecked() {
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
