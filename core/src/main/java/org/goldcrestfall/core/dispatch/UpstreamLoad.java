package org.goldcrestfall.core.dispatch;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * What one router knows of one upstream: its own requests there, the load that answers report, the
 * times of answers, failures, and the prompt parts that routers have sent there. Not thread-safe.
 */
public final class UpstreamLoad {

  /** Prompt tokens that an engine reads in a millisecond; engines do not announce their rate. */
  static final double PREFILL_TOKENS_PER_MILLI = 60;

  /** A plain service that is not slow answers within this time. */
  private static final double PLAIN_EXPECTED_MILLIS = 100;

  /** Fixed part of the expected time to the first event of a stream. */
  private static final double STREAM_EXPECTED_MILLIS = 40;

  /** A reported load is used so long. */
  private static final long REPORT_EXPIRY_MILLIS = 400;

  /** First pause after a failure; doubles with each further one in a row. */
  private static final long MIN_PAUSE_MILLIS = 250;

  private static final long MAX_PAUSE_MILLIS = 4_000;

  /** An upstream that owes answers and has sent nothing for so long is taken for silent. */
  private static final long SILENCE_TIMEOUT_MILLIS = 700;

  /** Weight of a new sample in the moving averages. */
  private static final double SAMPLE_WEIGHT = 0.2;

  /** The averages of failures and slowness halve in this time without samples. */
  private static final double HALF_LIFE_MILLIS = 4_000;

  private static final int MAX_CACHED_PARTS = 4_000;

  private final String id;
  private final String zone;
  private final Map<String, Long> cachedParts =
      new LinkedHashMap<>(16, 0.75f, true) {
        @Override
        protected boolean removeEldestEntry(Map.Entry<String, Long> eldest) {
          return size() > MAX_CACHED_PARTS;
        }
      };

  private final List<PromptPart> unpublishedParts = new ArrayList<>();
  private int running;
  private long promptBacklog;
  private int otherRoutersRunning;
  private long otherRoutersBacklog;
  private int reportedRunning;
  private int reportedWaiting;
  private long reportedAtMillis = Long.MIN_VALUE / 2;
  private int sentSinceReport;
  private int slots;
  private int consecutiveFailures;
  private long pausedUntilMillis = Long.MIN_VALUE / 2;
  private long lastBytesAtMillis;
  private double failureShare;
  private double slowness = 1;
  private long averagedAtMillis;

  /** Creates the record of an upstream that nothing is known of. */
  public UpstreamLoad(String id, String zone, int slots, long nowMillis) {
    this.id = id;
    this.zone = zone;
    this.slots = slots;
    averagedAtMillis = nowMillis;
    lastBytesAtMillis = nowMillis;
  }

  /** Counts a request that is sent. */
  public void onSend(Workload workload, long uncachedTokens, long nowMillis) {
    if (running == 0) {
      lastBytesAtMillis = nowMillis;
    }
    running++;
    sentSinceReport++;
    promptBacklog += uncachedTokens;
    for (PromptPart p : workload.sharedParts()) {
      if (cachedParts.put(p.id(), p.tokens()) == null) {
        unpublishedParts.add(p);
      }
    }
  }

  /** Returns the parts that this router was the first to send here, once. */
  public List<PromptPart> takeNewParts() {
    List<PromptPart> out = List.copyOf(unpublishedParts);
    unpublishedParts.clear();
    return out;
  }

  /** Takes the parts that another router has sent here. */
  public void onPartsOfOthers(List<PromptPart> sent) {
    sent.forEach(p -> cachedParts.put(p.id(), p.tokens()));
  }

  /** Ends the wait for the first part of an answer. */
  public void onFirstByte(long uncachedTokens) {
    promptBacklog -= uncachedTokens;
  }

  /** Ends a request, however it ended. */
  public void onEnd() {
    running--;
  }

  /** Notes that bytes have arrived. */
  public void onBytes(long nowMillis) {
    lastBytesAtMillis = nowMillis;
  }

  /** Sets the sums of what other routers have told of their requests here. */
  public void setOthers(int nowRunning, long nowBacklog) {
    otherRoutersRunning = nowRunning;
    otherRoutersBacklog = nowBacklog;
  }

  /** Takes the load that an answer reports. */
  public void onReport(int nowRunning, int nowWaiting, int nowSlots, long nowMillis) {
    reportedRunning = nowRunning;
    reportedWaiting = nowWaiting;
    reportedAtMillis = nowMillis;
    sentSinceReport = 0;
    if (nowSlots > 0) {
      slots = nowSlots;
    }
  }

  /** Counts an answer that came whole; {@code ratio} is its time against the expected one. */
  public void onSuccess(double ratio, long nowMillis) {
    decayAverages(nowMillis);
    consecutiveFailures = 0;
    pausedUntilMillis = Long.MIN_VALUE / 2;
    failureShare *= 1 - SAMPLE_WEIGHT;
    slowness += SAMPLE_WEIGHT * (Math.min(ratio, 20) - slowness);
  }

  /** Counts a failed request of an upstream that still answers others. */
  public void onFailure(long nowMillis) {
    decayAverages(nowMillis);
    failureShare += SAMPLE_WEIGHT * (1 - failureShare);
  }

  /** Counts a connection that could not be opened or broke; the upstream rests for a time. */
  public void onUnreachable(long nowMillis) {
    onFailure(nowMillis);
    long pause = Math.min(MAX_PAUSE_MILLIS, MIN_PAUSE_MILLIS << Math.min(consecutiveFailures, 5));
    consecutiveFailures++;
    pausedUntilMillis = nowMillis + pause;
  }

  private void decayAverages(long nowMillis) {
    double keep = Math.pow(0.5, (nowMillis - averagedAtMillis) / HALF_LIFE_MILLIS);
    averagedAtMillis = nowMillis;
    failureShare *= keep;
    slowness = 1 + (slowness - 1) * keep;
  }

  /** Returns the tokens of a prompt that no router is known to have sent here before. */
  public long uncachedTokens(Workload workload) {
    long cached = 0;
    for (PromptPart p : workload.parts()) {
      if (!cachedParts.containsKey(p.id())) {
        break;
      }
      cached += p.tokens();
    }
    return Math.max(0, workload.promptTokens() - cached);
  }

  /** Returns when the first part of an answer is expected, in milliseconds from the send. */
  public double expectedFirstByteMillis(Workload workload) {
    if (workload.promptTokens() == 0) {
      return PLAIN_EXPECTED_MILLIS;
    }
    long tokens = uncachedTokens(workload) + promptBacklog();
    return STREAM_EXPECTED_MILLIS + tokens / PREFILL_TOKENS_PER_MILLI;
  }

  /** Returns whether the upstream is not expected to answer at present. */
  public boolean isPaused(long nowMillis) {
    return nowMillis < pausedUntilMillis || isSilent(nowMillis);
  }

  /** Returns whether the upstream owes answers and has sent nothing for long. */
  public boolean isSilent(long nowMillis) {
    return running > 0 && nowMillis - lastBytesAtMillis > SILENCE_TIMEOUT_MILLIS;
  }

  /** Returns the requests in the upstream as far as known, this router's included. */
  public int load(long nowMillis) {
    int told = running + otherRoutersRunning;
    if (nowMillis - reportedAtMillis > REPORT_EXPIRY_MILLIS) {
      return told;
    }
    return Math.max(told, reportedRunning + reportedWaiting + sentSinceReport);
  }

  /** Returns the share of recent requests that failed, and its decay over time. */
  public double failureShare(long nowMillis) {
    decayAverages(nowMillis);
    return failureShare;
  }

  /** Returns the time of recent answers against the expected one. */
  public double slowness(long nowMillis) {
    decayAverages(nowMillis);
    return slowness;
  }

  /** Returns the prompt tokens of this router's requests that have no answer yet. */
  public long ownBacklog() {
    return promptBacklog;
  }

  /**
   * Returns the prompt tokens of all routers' requests that have no answer yet, as far as known.
   */
  public long promptBacklog() {
    return promptBacklog + otherRoutersBacklog;
  }

  /** Returns this router's requests there. */
  public int running() {
    return running;
  }

  /** Returns the requests that the upstream works on at the same time. */
  public int slots() {
    return slots;
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
