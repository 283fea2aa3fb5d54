package org.goldcrestfall.daemon.peer;

import java.util.ArrayList;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.OptionalLong;
import java.util.Set;
import java.util.TreeMap;
import java.util.function.Consumer;
import org.goldcrestfall.core.membership.ReceivedAnnouncement;
import org.goldcrestfall.core.membership.TransitTimeEstimator;
import org.goldcrestfall.core.membership.UpstreamAnnouncement;
import org.goldcrestfall.core.membership.UpstreamDirectory;
import org.goldcrestfall.core.membership.UpstreamDirectory.AgedAnnouncement;
import org.goldcrestfall.core.membership.UpstreamSnapshot;
import org.goldcrestfall.core.membership.UsageTable;
import org.goldcrestfall.core.membership.UsageTable.Usage;
import org.goldcrestfall.wire.generated.Gossip;
import org.goldcrestfall.wire.generated.UpstreamUpdate;
import org.goldcrestfall.wire.generated.UsageUpdate;

/**
 * Disseminates upstream announcements and usage reports by gossip. A router pushes the
 * announcements that upstreams make to it to every live peer. Peers that a push does not reach get
 * the announcements piggybacked on probes. Confined to the thread of {@link PeerService}.
 */
final class Dissemination {

  /** Maximum bytes of upstreams in a probe or acknowledgement, which has at most 1,400 bytes. */
  static final int MAX_PIGGYBACKED_UPSTREAM_BYTES = 650;

  static final long USAGE_INTERVAL_MILLIS = 2000;

  /** Keeps a pushed message far below the maximum frame length. */
  private static final int MAX_PUSH_UPSTREAMS = 64;

  private final String host;
  private final UpstreamDirectory directory = new UpstreamDirectory();
  private final TransitTimeEstimator transitTimes;
  private final UsageTable usage = new UsageTable();
  private final Map<String, Long> ownMilliRates = new TreeMap<>();
  private final Set<String> pendingPush = new LinkedHashSet<>();
  private final Consumer<UpstreamAnnouncement> observer;
  private long usageSequence;
  private long nextUsageAtMillis;

  Dissemination(String host, int clockId, Consumer<UpstreamAnnouncement> observer) {
    this.host = host;
    this.observer = observer;
    transitTimes = new TransitTimeEstimator(clockId);
  }

  UpstreamSnapshot upstreams() {
    return directory.snapshot();
  }

  Map<String, Map<String, Long>> milliRates() {
    return usage.rates();
  }

  /**
   * Accepts an announcement that an upstream made to this router {@code ageMillis} ago and returns
   * whether it is newer than the known one.
   */
  boolean announce(UpstreamAnnouncement a, long ageMillis, long now) {
    boolean accepted = directory.accept(a, ageMillis, now);
    if (accepted) {
      pendingPush.add(a.name());
      observer.accept(a);
    }
    return accepted;
  }

  /** Sets this router's usage of a limit, in thousandths, for the next usage reports. */
  void publishUsage(String limit, long milliRate) {
    ownMilliRates.put(limit, milliRate);
  }

  /** Raises the sequence of usage reports above the sequences of earlier incarnations. */
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

  /** Adds stamps and upstreams to a message for {@code receiver}, which is null if unknown. */
  void addStampsAndUpstreams(Gossip.Builder gossip, String receiver, int members, long now) {
    addStamps(gossip, receiver, now);
    List<AgedAnnouncement> updates =
        gossip.getFull()
            ? directory.updatesForFullExchange(now)
            : directory.nextUpdates(
                MAX_PIGGYBACKED_UPSTREAM_BYTES, UpstreamCodec::encodedBytes, members, now);
    updates.forEach(u -> gossip.addUpstreams(UpstreamCodec.update(u)));
  }

  void addStamps(Gossip.Builder gossip, String receiver, long now) {
    var echo = receiver == null ? null : transitTimes.echo(receiver, now);
    UpstreamCodec.addStamps(gossip, transitTimes.stamp(now), echo);
  }

  /** Returns the updates to push to every live peer now; each update is returned once. */
  Gossip.Builder nextPush(long now) {
    Gossip.Builder gossip = Gossip.newBuilder();
    List<ReceivedAnnouncement> announcements = directory.snapshot().entries();
    for (ReceivedAnnouncement received : announcements) {
      boolean hasRoom = gossip.getUpstreamsCount() < MAX_PUSH_UPSTREAMS;
      if (hasRoom && pendingPush.remove(received.announcement().name())) {
        AgedAnnouncement aged =
            new AgedAnnouncement(received.announcement(), received.ageMillis(now));
        gossip.addUpstreams(UpstreamCodec.update(aged));
      }
    }
    if (now >= nextUsageAtMillis) {
      nextUsageAtMillis = now + USAGE_INTERVAL_MILLIS;
      nextUsageReports(now).forEach(u -> gossip.addUsage(UpstreamCodec.usage(u)));
    }
    return gossip;
  }

  /** Returns this router's usage reports; an unused limit is reported once as 0, then no more. */
  private List<Usage> nextUsageReports(long now) {
    List<Usage> reports = new ArrayList<>();
    ownMilliRates.forEach((limit, r) -> reports.add(new Usage(host, limit, r, ++usageSequence)));
    ownMilliRates.values().removeIf(r -> r == 0);
    reports.forEach(u -> usage.accept(u, now));
    return reports;
  }

  /**
   * Processes the gossip of a message from {@code sender}. Returns whether the sender should get a
   * stamp: it has sent upstreams without a valid echo, so their transit time is unknown.
   */
  boolean receive(String sender, Gossip g, long now) {
    OptionalLong transitMillis = transitTimes.transitMillis(UpstreamCodec.echo(g), now);
    if (g.getClockId() != 0) {
      transitTimes.receive(sender, UpstreamCodec.stamp(g), now);
    }
    for (UpstreamUpdate u : g.getUpstreamsList()) {
      UpstreamAnnouncement a = UpstreamCodec.announcement(u);
      if (a == null) {
        continue;
      }
      // The age is unsigned on the wire; clamping keeps the sum from overflowing.
      long statedAgeMillis = Math.min(u.getAgeMillis() & Long.MAX_VALUE, Integer.MAX_VALUE);
      long ageMillis =
          transitMillis.isPresent()
              ? statedAgeMillis + transitMillis.getAsLong()
              : UpstreamDirectory.UNKNOWN_AGE_MILLIS;
      if (directory.accept(a, ageMillis, now)) {
        observer.accept(a);
      }
    }
    for (UsageUpdate u : g.getUsageList()) {
      usage.accept(new Usage(sender, u.getLimit(), u.getMilliRate(), u.getSequence()), now);
    }
    return transitMillis.isEmpty() && g.getUpstreamsCount() > 0;
  }
}
