package org.goldcrestfall.daemon.peer;

import java.util.ArrayList;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.OptionalLong;
import java.util.Set;
import java.util.TreeMap;
import java.util.function.Consumer;
import org.goldcrestfall.core.membership.TransitClock;
import org.goldcrestfall.core.membership.UpstreamAnnouncement;
import org.goldcrestfall.core.membership.UpstreamDirectory;
import org.goldcrestfall.core.membership.UpstreamDirectory.Delta;
import org.goldcrestfall.core.membership.UpstreamEntry;
import org.goldcrestfall.core.membership.UpstreamSnapshot;
import org.goldcrestfall.core.membership.UsageTable;
import org.goldcrestfall.core.membership.UsageTable.Usage;
import org.goldcrestfall.wire.generated.Gossip;
import org.goldcrestfall.wire.generated.UpstreamUpdate;
import org.goldcrestfall.wire.generated.UsageUpdate;

/**
 * Upstreams and usage inside gossip. A router sends what was announced to it directly to every live
 * peer; peers that such a message does not reach get it piggybacked on probes. Confined to the
 * thread of {@link PeerService}.
 */
final class Dissemination {

  /** Part of the 1,400 bytes of a message that upstreams may use. */
  static final int MAX_PIGGYBACKED_UPSTREAM_BYTES = 650;

  static final long USAGE_INTERVAL_MILLIS = 2000;

  /** Leaves a direct message far below the limit of a frame. */
  private static final int MAX_PUSH_UPSTREAMS = 64;

  private final String host;
  private final UpstreamDirectory directory = new UpstreamDirectory();
  private final TransitClock transitTimes;
  private final UsageTable usage = new UsageTable();
  private final Map<String, Long> ownMilliRates = new TreeMap<>();
  private final Set<String> pendingPush = new LinkedHashSet<>();
  private final Consumer<UpstreamAnnouncement> observer;
  private long usageSequence;
  private long nextUsageAtMillis;

  Dissemination(String host, int clockId, Consumer<UpstreamAnnouncement> observer) {
    this.host = host;
    this.observer = observer;
    transitTimes = new TransitClock(clockId);
  }

  UpstreamSnapshot upstreams() {
    return directory.snapshot();
  }

  Map<String, Map<String, Long>> rates() {
    return usage.rates();
  }

  /** Takes in an announcement that an upstream made to this router {@code age} ago. */
  boolean announce(UpstreamAnnouncement a, long age, long now) {
    boolean accepted = directory.accept(a, age, now);
    if (accepted) {
      pendingPush.add(a.name());
      observer.accept(a);
    }
    return accepted;
  }

  void publishUsage(String limit, long milliRate) {
    ownMilliRates.put(limit, milliRate);
  }

  /** Raises the sequence of usage reports above those of earlier incarnations. */
  void setBoot(long boot) {
    usageSequence = Math.max(usageSequence, boot << 32);
  }

  void tick(long now) {
    directory.tick(now);
    usage.tick(now);
  }

  void removePeer(String member) {
    transitTimes.remove(member);
  }

  /** Adds stamps and piggybacked upstreams to a message for {@code receiver}, null if unknown. */
  void addStampsAndUpstreams(Gossip.Builder out, String receiver, int members, long now) {
    addStamps(out, receiver, now);
    List<Delta> deltas =
        out.getFull()
            ? directory.all(now)
            : directory.deltas(
                MAX_PIGGYBACKED_UPSTREAM_BYTES, UpstreamCodec::encodedBytes, members, now);
    deltas.forEach(d -> out.addUpstreams(UpstreamCodec.update(d)));
  }

  void addStamps(Gossip.Builder out, String receiver, long now) {
    var echo = receiver == null ? null : transitTimes.echo(receiver, now);
    UpstreamCodec.addStamps(out, transitTimes.stamp(now), echo);
  }

  /** Returns the updates to send to every live peer now; each is returned once. */
  Gossip.Builder nextPush(long now) {
    Gossip.Builder out = Gossip.newBuilder();
    List<UpstreamEntry> entries = directory.snapshot().entries();
    for (UpstreamEntry e : entries) {
      boolean room = out.getUpstreamsCount() < MAX_PUSH_UPSTREAMS;
      if (room && pendingPush.remove(e.announcement().name())) {
        Delta d = new Delta(e.announcement(), e.ageMillis(now));
        out.addUpstreams(UpstreamCodec.update(d));
      }
    }
    if (now >= nextUsageAtMillis) {
      nextUsageAtMillis = now + USAGE_INTERVAL_MILLIS;
      nextUsageReports(now).forEach(u -> out.addUsage(UpstreamCodec.usage(u)));
    }
    return out;
  }

  /** A limit without use is reported once as 0 and then no more. */
  private List<Usage> nextUsageReports(long now) {
    List<Usage> reports = new ArrayList<>();
    ownMilliRates.forEach((limit, r) -> reports.add(new Usage(host, limit, r, ++usageSequence)));
    ownMilliRates.values().removeIf(r -> r == 0);
    reports.forEach(u -> usage.accept(u, now));
    return reports;
  }

  /**
   * Takes in what a message from {@code sender} carries and returns whether the sender should get a
   * stamp, because it holds none of this process.
   */
  boolean receive(String sender, Gossip g, long now) {
    OptionalLong way = transitTimes.transitMillis(UpstreamCodec.echo(g), now);
    if (g.getClockId() != 0) {
      transitTimes.receive(sender, UpstreamCodec.stamp(g), now);
    }
    for (UpstreamUpdate u : g.getUpstreamsList()) {
      UpstreamAnnouncement a = UpstreamCodec.announcement(u);
      if (a == null) {
        continue;
      }
      // The age is unsigned on the wire; clamping keeps the sum from overflowing.
      long stated = Math.min(u.getAgeMillis() & Long.MAX_VALUE, Integer.MAX_VALUE);
      long age = way.isPresent() ? stated + way.getAsLong() : UpstreamDirectory.UNKNOWN_AGE_MILLIS;
      if (directory.accept(a, age, now)) {
        observer.accept(a);
      }
    }
    for (UsageUpdate u : g.getUsageList()) {
      usage.accept(new Usage(sender, u.getLimit(), u.getMilliRate(), u.getSequence()), now);
    }
    return way.isEmpty() && g.getUpstreamsCount() > 0;
  }
}
