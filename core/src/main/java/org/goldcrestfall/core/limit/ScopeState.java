package org.goldcrestfall.core.limit;

/** Local state of one scope: token bucket, running requests and recent demand. */
final class ScopeState {

  private final long demandMillis;
  private double tokens = Double.NaN;
  private long refilledAtMillis;
  private double demand;
  private long demandAtMillis;
  int running;
  private int runningAtPublish;
  private int runningAtEarlierPublish;
  double publishedDemand;

  ScopeState(long demandMillis, long nowMillis) {
    this.demandMillis = demandMillis;
    refilledAtMillis = nowMillis;
    demandAtMillis = nowMillis;
  }

  void addDemand(long nowMillis) {
    demand = demandPerSecond(nowMillis) + 1000.0 / demandMillis;
    demandAtMillis = nowMillis;
  }

  double demandPerSecond(long nowMillis) {
    return demand * Math.exp((demandAtMillis - nowMillis) / (double) demandMillis);
  }

  /** Refills the bucket and returns whether it holds a token. A new bucket is full. */
  boolean refill(double ratePerSecond, double depth, long nowMillis) {
    double added = (nowMillis - refilledAtMillis) * ratePerSecond / 1000;
    tokens = Double.isNaN(tokens) ? depth : Math.min(depth, tokens + added);
    refilledAtMillis = nowMillis;
    return tokens >= 1;
  }

  void onPublish() {
    runningAtEarlierPublish = runningAtPublish;
    runningAtPublish = running;
  }

  /** Returns the running requests that the peers certainly know of. */
  int knownToPeers() {
    return Math.min(runningAtEarlierPublish, runningAtPublish);
  }

  void takeToken() {
    tokens--;
  }

  boolean idle(long nowMillis) {
    return running == 0 && demandPerSecond(nowMillis) < 1e-3;
  }
}
