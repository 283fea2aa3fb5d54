package org.goldcrestfall.core.dispatch;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.goldcrestfall.core.common.TokenCount;
import org.goldcrestfall.core.limit.StatedLimit;

/**
 * What one router knows about one upstream: its own requests there, the load that other routers and
 * the upstream itself report, the times and failures of recent requests, and the prompt parts that
 * the upstream has probably cached. Not thread-safe.
 */
public final class UpstreamLoad {

  /**
   * Prompt tokens that an engine is assumed to prefill in a millisecond; engines do not announce
   * their rate.
   */
  static final double PREFILL_TOKENS_PER_MILLI = 60;

  /** Expected time to the first byte of the answer of a plain service. */
  private static final double PLAIN_EXPECTED_MILLIS = 100;

  /** Expected time to the first event of a stream without the prefill. */
  private static final double STREAM_EXPECTED_MILLIS = 40;

  /** Age up to which a load that the upstream reported is used. */
  private static final long REPORT_EXPIRY_MILLIS = 400;

  /**
   * Pause after the first of several consecutive failures to reach the upstream; it doubles with
   * each further one.
   */
  private static final long MIN_PAUSE_MILLIS = 250;

  private static final long MAX_PAUSE_MILLIS = 4_000;

  /**
   * Time without any bytes after which an upstream that has unfinished requests counts as silent.
   */
  private static final long SILENCE_TIMEOUT_MILLIS = 700;

  /** Weight of a new sample in the moving averages. */
  private static final double SAMPLE_WEIGHT = 0.2;

  /** Half-life of the averages of failures and excess latency while there are no new samples. */
  private static final double HALF_LIFE_MILLIS = 4_000;

  private static final int MAX_CACHED_PARTS = 4_000;

  private final String id;
  private final String zone;
  private final Map<String, TokenCount> cachedParts =
      new LinkedHashMap<>(16, 0.75f, true) {
        @Override
        protected boolean removeEldestEntry(Map.Entry<String, TokenCount> eldest) {
          return size() > MAX_CACHED_PARTS;
        }
      };

  private final List<PromptPart> unpublishedParts = new ArrayList<>();
  private int running;
  private long promptBacklog;
  private RequestLoad otherRoutersLoad = RequestLoad.NONE;
  private int reportedRunning;
  private int reportedWaiting;
  private long reportedAtMillis = Long.MIN_VALUE / 2;
  private int sentSinceReport;
  private int slots;
  private StatedLimit limit = StatedLimit.NONE;
  private long limitedUntilMillis = Long.MIN_VALUE / 2;
  private int consecutiveFailures;
  private long pausedUntilMillis = Long.MIN_VALUE / 2;
  private long lastBytesAtMillis;
  private double failureShare;
  private double latencyRatio = 1;
  private long averagedAtMillis;

  /**
   * Creates an instance that knows only the id, the zone and the number of slots of the upstream.
   */
  public UpstreamLoad(String id, String zone, int slots, long nowMillis) {
    this.id = id;
    this.zone = zone;
    this.slots = slots;
    averagedAtMillis = nowMillis;
    lastBytesAtMillis = nowMillis;
  }

  /**
   * Records that a request is sent; {@code uncachedTokens} are the prompt tokens to be prefilled.
   */
  public void onSend(RequestSize requestSize, long uncachedTokens, long nowMillis) {
    if (running == 0) {
      lastBytesAtMillis = nowMillis;
    }
    running++;
    sentSinceReport++;
    promptBacklog += uncachedTokens;
    for (PromptPart p : requestSize.sharedParts()) {
      if (cachedParts.put(p.id(), p.tokens()) == null) {
        unpublishedParts.add(p);
      }
    }
  }

  /**
   * Returns the parts that this router has sent here for the first time since the last call, to be
   * published to the other routers.
   */
  public List<PromptPart> takeUnpublishedParts() {
    List<PromptPart> taken = List.copyOf(unpublishedParts);
    unpublishedParts.clear();
    return taken;
  }

  /** Records a part that another router has sent here. */
  public void onPartSentByOtherRouter(PromptPart sent) {
    cachedParts.put(sent.id(), sent.tokens());
  }

  /**
   * Records the first byte of an answer; {@code uncachedTokens} is the value given to {@link
   * #onSend}.
   */
  public void onFirstByte(long uncachedTokens) {
    promptBacklog -= uncachedTokens;
  }

  /** Records the end of a request, whatever its outcome. */
  public void onEnd() {
    running--;
  }

  /** Records that bytes have arrived. */
  public void onBytes(long nowMillis) {
    lastBytesAtMillis = nowMillis;
  }

  /** Sets the load that other routers put on the upstream. */
  public void setOtherRoutersLoad(RequestLoad load) {
    otherRoutersLoad = load;
  }

  /** Returns the load that this router puts on the upstream. */
  public RequestLoad ownLoad() {
    return new RequestLoad(running, promptBacklog);
  }

  /**
   * Records the load that the upstream reports in an answer; {@code nowSlots} is ignored unless it
   * is positive.
   */
  public void onReport(int nowRunning, int nowWaiting, int nowSlots, long nowMillis) {
    reportedRunning = nowRunning;
    reportedWaiting = nowWaiting;
    reportedAtMillis = nowMillis;
    sentSinceReport = 0;
    if (nowSlots > 0) {
      slots = nowSlots;
    }
  }

  /**
   * Records a complete answer.
   *
   * @param ratio time to the first byte of the answer as a multiple of the expected time
   */
  public void onSuccess(double ratio, long nowMillis) {
    decayAverages(nowMillis);
    consecutiveFailures = 0;
    pausedUntilMillis = Long.MIN_VALUE / 2;
    failureShare *= 1 - SAMPLE_WEIGHT;
    latencyRatio += SAMPLE_WEIGHT * (Math.min(ratio, 20) - latencyRatio);
  }

  /** Records a failed request at an upstream that can still be reached. */
  public void onFailure(long nowMillis) {
    decayAverages(nowMillis);
    failureShare += SAMPLE_WEIGHT * (1 - failureShare);
  }

  /**
   * Records that a connection could not be opened or was lost; the upstream is paused for some
   * time.
   */
  public void onUnreachable(long nowMillis) {
    onFailure(nowMillis);
    long pauseMillis =
        Math.min(MAX_PAUSE_MILLIS, MIN_PAUSE_MILLIS << Math.min(consecutiveFailures, 5));
    consecutiveFailures++;
    pausedUntilMillis = nowMillis + pauseMillis;
  }

  /** Decays the averages by the time since they were last updated. */
  private void decayAverages(long nowMillis) {
    double decay = Math.pow(0.5, (nowMillis - averagedAtMillis) / HALF_LIFE_MILLIS);
    averagedAtMillis = nowMillis;
    failureShare *= decay;
    latencyRatio = 1 + (latencyRatio - 1) * decay;
  }

  /**
   * Returns the prompt tokens that follow the longest prefix whose parts are probably all cached at
   * the upstream.
   */
  public long uncachedTokens(RequestSize requestSize) {
    TokenCount cached = TokenCount.ZERO;
    for (PromptPart p : requestSize.parts()) {
      if (!cachedParts.containsKey(p.id())) {
        break;
      }
      cached = cached.plus(p.tokens());
    }
    return Math.max(0, requestSize.promptTokens().value() - cached.value());
  }

  /** Returns the expected time from the send to the first byte of the answer, in milliseconds. */
  public double expectedFirstByteMillis(RequestSize requestSize) {
    if (!requestSize.hasPrompt()) {
      return PLAIN_EXPECTED_MILLIS;
    }
    long tokens = uncachedTokens(requestSize) + promptBacklog();
    return STREAM_EXPECTED_MILLIS + tokens / PREFILL_TOKENS_PER_MILLI;
  }

  /** Returns whether the upstream is currently not expected to answer. */
  public boolean isPaused(long nowMillis) {
    return nowMillis < pausedUntilMillis || isSilent(nowMillis);
  }

  /**
   * Returns whether the upstream has unfinished requests of this router and has sent nothing for
   * longer than the silence timeout.
   */
  public boolean isSilent(long nowMillis) {
    return running > 0 && nowMillis - lastBytesAtMillis > SILENCE_TIMEOUT_MILLIS;
  }

  /** Returns the number of requests at the upstream as far as known, this router's included. */
  public int load(long nowMillis) {
    int known = running + otherRoutersLoad.running();
    if (nowMillis - reportedAtMillis > REPORT_EXPIRY_MILLIS) {
      return known;
    }
    return Math.max(known, reportedRunning + reportedWaiting + sentSinceReport);
  }

  /** Returns the share of recent requests that failed, as a decaying average from 0 to 1. */
  public double failureShare(long nowMillis) {
    decayAverages(nowMillis);
    return failureShare;
  }

  /**
   * Returns the time to the first byte of recent answers as a multiple of the expected time, as a
   * decaying average.
   */
  public double latencyRatio(long nowMillis) {
    decayAverages(nowMillis);
    return latencyRatio;
  }

  /**
   * Returns the uncached prompt tokens of all routers' requests whose answer has not begun, as far
   * as known.
   */
  public long promptBacklog() {
    return promptBacklog + otherRoutersLoad.backlog();
  }

  /** Returns the number of this router's unfinished requests here. */
  public int running() {
    return running;
  }

  /** Returns the number of requests that the upstream serves at the same time. */
  public int slots() {
    return slots;
  }

  /** Sets the rate limit that the upstream has stated, unless a newer one is known. */
  public void setLimit(StatedLimit stated) {
    limit = limit.newer(stated);
  }

  /** Returns the rate limit that the upstream has stated last. */
  public StatedLimit limit() {
    return limit;
  }

  /** Records that the rate limit allows no request before {@code untilMillis}. */
  public void setLimitedUntil(long untilMillis) {
    limitedUntilMillis = untilMillis;
  }

  /** Returns the milliseconds until the rate limit may allow a request, 0 if it may now. */
  public long limitedMillis(long nowMillis) {
    return limit.isLimited() ? Math.max(0, limitedUntilMillis - nowMillis) : 0;
  }

  /** Returns the upstream's id. */
  public String id() {
    return id;
  }

  /** Returns the availability zone. */
  public String zone() {
    return zone;
  }
}
