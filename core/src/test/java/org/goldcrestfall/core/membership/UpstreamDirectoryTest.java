package org.goldcrestfall.core.membership;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import java.util.List;
import net.jqwik.api.Example;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.LongRange;
import org.goldcrestfall.core.membership.TransitTimeEstimator.Echo;
import org.goldcrestfall.core.membership.UpstreamAnnouncement.Kind;
import org.goldcrestfall.core.membership.UpstreamAnnouncement.State;

class UpstreamDirectoryTest {

  private UpstreamDirectory directory = new UpstreamDirectory();

  private static UpstreamAnnouncement announcement(
      long incarnation, long sequence, State state, long ttlMillis) {
    return new UpstreamAnnouncement(
        "u",
        incarnation,
        sequence,
        Kind.ENGINE,
        "10.0.0.1:80",
        "z",
        state,
        ttlMillis,
        List.of(),
        null,
        false,
        null,
        null);
  }

  private boolean routable(long nowMillis) {
    return !directory.snapshot().routable(nowMillis).isEmpty();
  }

  // Guards against an old READY announcement that arrives late and replaces a newer LEAVING one.
  @Example
  void olderAnnouncementsDoNotMakeLeavingUpstreamRoutable() {
    assertThat(directory.accept(announcement(2, 5, State.LEAVING, 1000), 0, 100)).isTrue();
    assertThat(directory.accept(announcement(2, 4, State.READY, 5000), 0, 200)).isFalse();
    assertThat(directory.accept(announcement(1, 9, State.READY, 5000), 0, 2000)).isFalse();
    assertThat(routable(2000)).isFalse();
    assertThat(directory.accept(announcement(3, 0, State.READY, 5000), 0, 2100)).isTrue();
    assertThat(routable(2100)).isTrue();
  }

  // Guards against a time to live that restarts at each router that forwards the announcement.
  @Property(tries = 300, seed = "21")
  void forwardedAnnouncementExpiresNoLaterThanAtTheFirstRouter(
      @ForAll @LongRange(min = 1, max = 5000) long ttlMillis,
      @ForAll @LongRange(min = 0, max = 6000) long firstHopMillis,
      @ForAll @LongRange(min = 0, max = 6000) long secondHopMillis) {
    directory = new UpstreamDirectory();
    UpstreamDirectory other = new UpstreamDirectory();
    other.accept(announcement(1, 1, State.READY, ttlMillis), 0, 50_000);
    for (UpstreamDirectory.AgedAnnouncement aged :
        other.updatesForFullExchange(50_000 + firstHopMillis)) {
      directory.accept(
          aged.announcement(),
          aged.ageMillis() + secondHopMillis,
          7000 + firstHopMillis + secondHopMillis);
    }
    assertThat(routable(7000 + ttlMillis)).isFalse();
  }

  // Guards against an estimated bound that is below the actual transit time.
  @Property(tries = 500, seed = "22")
  void transitTimeBoundIsNeverBelowTheActualTime(
      @ForAll @LongRange(min = 0, max = 10_000) long firstTransitMillis,
      @ForAll @LongRange(min = 0, max = 100_000) long heldMillis,
      @ForAll @LongRange(min = 0, max = 10_000) long secondTransitMillis,
      @ForAll @LongRange(min = 0, max = 1_000_000) long clockOffsetMillis) {
    TransitTimeEstimator a = new TransitTimeEstimator(1);
    TransitTimeEstimator b = new TransitTimeEstimator(2);
    b.receive("a", a.stamp(1000), clockOffsetMillis + firstTransitMillis);
    Echo echo = b.echo("a", clockOffsetMillis + firstTransitMillis + heldMillis);
    long arrivalMillis = 1000 + firstTransitMillis + heldMillis + secondTransitMillis;
    assertThat(a.transitMillis(echo, arrivalMillis).getAsLong())
        .isGreaterThanOrEqualTo(secondTransitMillis);
    // The stamp of an earlier process on the same host gives no bound.
    assertThat(new TransitTimeEstimator(3).transitMillis(echo, arrivalMillis)).isEmpty();
    assertThat(a.transitMillis(null, arrivalMillis)).isEmpty();
  }

  // Guards against accepting invalid announcements, and against unclear error messages for them.
  @Example
  void invalidAnnouncementsAreRejectedWithPathAndValue() {
    assertThat(announcement(1, 1, null, 0).ttlMillis()).isEqualTo(4000);
    assertThatThrownBy(() -> announcement(1, 1, State.READY, 5001))
        .hasMessage("ttl_millis: 5001, expected 1 to 5000");
    assertThatThrownBy(() -> announcement(1, -1, State.READY, 1))
        .hasMessageStartingWith("sequence: -1");
    for (String address : List.of("", "host:80", "10.0.0.1", "10.0.0.1:0")) {
      assertThatThrownBy(
              () ->
                  new UpstreamAnnouncement(
                      "u", 1, 1, Kind.ENGINE, address, "", null, 0, null, null, false, null, null))
          .hasMessageStartingWith("address: " + address);
    }
    assertThatThrownBy(
            () ->
                new UpstreamAnnouncement(
                    "u",
                    1,
                    1,
                    Kind.SERVICE,
                    "10.0.0.1:80",
                    "",
                    null,
                    0,
                    null,
                    null,
                    false,
                    null,
                    null))
        .hasMessageStartingWith("service: ");
  }
}
