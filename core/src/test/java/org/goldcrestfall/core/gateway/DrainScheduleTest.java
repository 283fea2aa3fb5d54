package org.goldcrestfall.core.gateway;

import static org.assertj.core.api.Assertions.assertThat;

import net.jqwik.api.Example;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.LongRange;

/** Guards against requests that a stopping router takes and then cuts off. */
class DrainScheduleTest {

  private static final DrainSchedule SCHEDULE = new DrainSchedule(2_500, 7_300);

  @Example
  void everyRequestIsServedWhileTheLoadBalancerSelectsTheRouter() {
    assertThat(SCHEDULE.admits(2_499, Long.MAX_VALUE)).isTrue();
  }

  @Property
  void requestReadLaterIsServedOnlyIfItsTimeLimitEndsBeforeTheRouter(
      @ForAll @LongRange(min = 2_500, max = 10_000) long now,
      @ForAll @LongRange(min = 1, max = 20_000) long limit) {
    assertThat(SCHEDULE.admits(now, limit)).isEqualTo(now + limit <= 7_300);
  }

  @Example
  void requestWithoutTimeLimitIsNotServedLate() {
    assertThat(SCHEDULE.admits(2_500, Long.MAX_VALUE)).isFalse();
  }
}
