package org.goldcrestfall.core.membership;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import java.util.List;
import net.jqwik.api.Example;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.LongRange;
import org.goldcrestfall.core.membership.TransitClock.Echo;
import org.goldcrestfall.core.membership.UpstreamAnnouncement.Kind;
import org.goldcrestfall.core.membership.UpstreamAnnouncement.State;

class UpstreamDirectoryTest {

  private UpstreamDirectory directory = new UpstreamDirectory();

  private static UpstreamAnnouncement announcement(
      long incarnation, long sequence, State state, long ttl) {
    return new UpstreamAnnouncement(
        "u",
        incarnation,
        sequence,
        Kind.ENGINE,
        "10.0.0.1:80",
        "z",
        state,
        ttl,
        List.of(),
        null,
        false,
        null,
        null);
  }

  private boolean routable(long now) {
    return !directory.snapshot().routable(now).isEmpty();
  }

  // Guards against an old ready announcement that overtakes a newer leaving one.
  @Example
  void olderAnnouncementsDoNotReviveLeavingUpstream() {
    assertThat(directory.accept(announcement(2, 5, State.LEAVING, 1000), 0, 100)).isTrue();
    assertThat(directory.accept(announcement(2, 4, State.READY, 5000), 0, 200)).isFalse();
    assertThat(directory.accept(announcement(1, 9, State.READY, 5000), 0, 2000)).isFalse();
    assertThat(routable(2000)).isFalse();
    assertThat(directory.accept(announcement(3, 0, State.READY, 5000), 0, 2100)).isTrue();
    assertThat(routable(2100)).isTrue();
  }

  // Guards against a time to live that starts again at each router on the way.
  @Property(tries = 300, seed = "21")
  void relayedAnnouncementExpiresWithItsFirstCopy(
      @ForAll @LongRange(min = 1, max = 5000) long ttl,
      @ForAll @LongRange(min = 0, max = 6000) long firstHop,
      @ForAll @LongRange(min = 0, max = 6000) long secondHop) {
    directory = new UpstreamDirectory();
    UpstreamDirectory other = new UpstreamDirectory();
    other.accept(announcement(1, 1, State.READY, ttl), 0, 50_000);
    for (UpstreamDirectory.Delta d : other.all(50_000 + firstHop)) {
      directory.accept(d.announcement(), d.ageMillis() + secondHop, 7000 + firstHop + secondHop);
    }
    assertThat(routable(7000 + ttl)).isFalse();
  }

  // Guards against a bound that is below the true time on the way.
  @Property(tries = 500, seed = "22")
  void transitBoundIsNeverBelowTheTrueTime(
      @ForAll @LongRange(min = 0, max = 10_000) long first,
      @ForAll @LongRange(min = 0, max = 100_000) long held,
      @ForAll @LongRange(min = 0, max = 10_000) long second,
      @ForAll @LongRange(min = 0, max = 1_000_000) long offset) {
    TransitClock a = new TransitClock(1);
    TransitClock b = new TransitClock(2);
    b.receive("a", a.stamp(1000), offset + first);
    Echo echo = b.echo("a", offset + first + held);
    long arrival = 1000 + first + held + second;
    assertThat(a.transitMillis(echo, arrival).getAsLong()).isGreaterThanOrEqualTo(second);
    // The stamp of an earlier process of the host says nothing.
    assertThat(new TransitClock(3).transitMillis(echo, arrival)).isEmpty();
    assertThat(a.transitMillis(null, arrival)).isEmpty();
  }

  // Guards against an invalid announcement that is taken in, and against unclear reports of it.
  @Example
  void invalidAnnouncementsAreReportedWithPathAndValue() {
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
