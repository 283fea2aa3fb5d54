package org.goldcrestfall.core.limit;

/**
 * State of one scope on this router: its token bucket, its running requests, and its demand as an
 * exponentially decaying average.
 */
final class ScopeState {

  private final long demandTimeConstantMillis;
  private double tokens = Double.NaN;
  private long refilledAtMillis;
  private double lastDemandPerSecond;
  private long demandUpdatedAtMillis;
  int running;
  private int runningAtLastPublish;
  private int runningAtPreviousPublish;
  double publishedDemandPerSecond;

  ScopeState(long demandTimeConstantMillis, long nowMillis) {
    this.demandTimeConstantMillis = demandTimeConstantMillis;
    refilledAtMillis = nowMillis;
    demandUpdatedAtMillis = nowMillis;
  }

  void addDemand(long nowMillis) {
    lastDemandPerSecond = demandPerSecond(nowMillis) + 1000.0 / demandTimeConstantMillis;
    demandUpdatedAtMillis = nowMillis;
  }

  double demandPerSecond(long nowMillis) {
    return lastDemandPerSecond
        * Math.exp((demandUpdatedAtMillis - nowMillis) / (double) demandTimeConstantMillis);
  }

  /**
   * Refills the bucket up to {@code capacity} and returns whether it holds a token. A new bucket is
   * full.
   */
  boolean refill(double ratePerSecond, double capacity, long nowMillis) {
    double added = (nowMillis - refilledAtMillis) * ratePerSecond / 1000;
    tokens = Double.isNaN(tokens) ? capacity : Math.min(capacity, tokens + added);
    refilledAtMillis = nowMillis;
    return tokens >= 1;
  }

  void onPublish() {
    runningAtPreviousPublish = runningAtLastPublish;
    runningAtLastPublish = running;
  }

  /** Returns a number of running requests that the peers are certain to know of. */
  int runningKnownToPeers() {
    return Math.min(runningAtPreviousPublish, runningAtLastPublish);
  }

  void takeToken() {
    tokens--;
  }

  boolean idle(long nowMillis) {
    return running == 0 && demandPerSecond(nowMillis) < 1e-3;
  }
}
