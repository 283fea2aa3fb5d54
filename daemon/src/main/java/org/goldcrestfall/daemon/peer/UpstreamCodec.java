package org.goldcrestfall.daemon.peer;

import com.fasterxml.jackson.databind.DeserializationFeature;
import com.fasterxml.jackson.databind.json.JsonMapper;
import com.google.common.cache.CacheBuilder;
import com.google.common.cache.CacheLoader;
import com.google.common.cache.LoadingCache;
import com.google.common.flogger.FluentLogger;
import com.google.protobuf.ByteString;
import java.io.IOException;
import java.util.concurrent.TimeUnit;
import org.goldcrestfall.core.membership.TransitTimeEstimator.Echo;
import org.goldcrestfall.core.membership.TransitTimeEstimator.Stamp;
import org.goldcrestfall.core.membership.UpstreamAnnouncement;
import org.goldcrestfall.core.membership.UpstreamDirectory.AgedAnnouncement;
import org.goldcrestfall.core.membership.UsageTable.Usage;
import org.goldcrestfall.wire.generated.Gossip;
import org.goldcrestfall.wire.generated.UpstreamUpdate;
import org.goldcrestfall.wire.generated.UsageUpdate;

/**
 * Encodes and decodes the upstreams, usage reports and stamps (clock readings for {@link
 * org.goldcrestfall.core.membership.TransitTimeEstimator}) in gossip.
 */
final class UpstreamCodec {

  private static final FluentLogger logger = FluentLogger.forEnclosingClass();
  private static final JsonMapper JSON =
      JsonMapper.builder().disable(DeserializationFeature.FAIL_ON_UNKNOWN_PROPERTIES).build();

  /** Bytes that the tags, lengths and age of an update add to its announcement. */
  private static final int UPDATE_OVERHEAD_BYTES = 12;

  /** Caches the JSON of announcements, because an announcement is sent in several messages. */
  private static final LoadingCache<UpstreamAnnouncement, ByteString> ENCODED_ANNOUNCEMENTS =
      CacheBuilder.newBuilder()
          .weakKeys()
          .build(CacheLoader.from(a -> ByteString.copyFrom(ConfigCodec.toJson(a))));

  private UpstreamCodec() {}

  static int encodedBytes(UpstreamAnnouncement a) {
    return ENCODED_ANNOUNCEMENTS.getUnchecked(a).size() + UPDATE_OVERHEAD_BYTES;
  }

  static UpstreamUpdate update(AgedAnnouncement aged) {
    return UpstreamUpdate.newBuilder()
        .setAnnouncement(ENCODED_ANNOUNCEMENTS.getUnchecked(aged.announcement()))
        .setAgeMillis(aged.ageMillis())
        .build();
  }

  /** Returns the announcement, or null if it is invalid. */
  static UpstreamAnnouncement announcement(UpstreamUpdate update) {
    try {
      return JSON.readValue(update.getAnnouncement().toByteArray(), UpstreamAnnouncement.class);
    } catch (IOException | IllegalArgumentException e) {
      logger.atWarning().withCause(e).atMostEvery(10, TimeUnit.SECONDS).log(
          "peer: ignored an invalid announcement");
      return null;
    }
  }

  static void addStamps(Gossip.Builder gossip, Stamp stamp, Echo echo) {
    gossip.setClockId(stamp.clockId()).setStamp(stamp.millis());
    if (echo != null) {
      gossip.setEchoClockId(echo.stamp().clockId());
      gossip.setEchoStamp(echo.stamp().millis()).setEchoHeldMillis(echo.heldMillis());
    }
  }

  static Stamp stamp(Gossip g) {
    return new Stamp(g.getClockId(), g.getStamp());
  }

  static Echo echo(Gossip g) {
    return g.getEchoClockId() == 0
        ? null
        : new Echo(new Stamp(g.getEchoClockId(), g.getEchoStamp()), g.getEchoHeldMillis());
  }

  /** Encodes usage without its host, which the receiver knows as the sender. */
  static UsageUpdate usage(Usage u) {
    return UsageUpdate.newBuilder()
        .setLimit(u.limit())
        .setMilliRate(u.milliRate())
        .setSequence(u.sequence())
        .build();
  }
}
