package org.goldcrestfall.core.routing;

import java.util.ArrayDeque;
import java.util.HashMap;
import java.util.Map;

/**
 * Corrects delayed load reports by this router's own sends and completions since the report was
 * measured, and estimates how long a request holds a slot. Not thread-safe.
 */
public final class LoadTracker {

  /**
   * Bound on the corrections of one upstream, which limits the memory for an upstream that stops
   * reporting. The oldest corrections are dropped first.
   */
  private static final int MAX_CORRECTIONS = 4096;

  /** Weight of a new observation in the moving average of slot times. */
  private static final double AVERAGE_WEIGHT = 0.05;

  /** A change of the number of requests at an upstream. */
  private record Correction(long changedAtMillis, int delta) {}

  private static final class UpstreamState {
    final ArrayDeque<Correction> corrections = new ArrayDeque<>();
    int ownRequests;
    double holdMillis = -1;
    double pendingPrefillMillis;
  }

  private final Map<String, UpstreamState> upstreams = new HashMap<>();

  /**
   * Records that this router sent a request.
   *
   * @param prefillMillis expected prefill time of the part of the prompt that is not cached
   */
  public SentRequest onSend(String upstream, double prefillMillis, long nowMillis) {
    UpstreamState u = upstreams.computeIfAbsent(upstream, n -> new UpstreamState());
    u.ownRequests++;
    u.pendingPrefillMillis += prefillMillis;
    addCorrection(u, new Correction(nowMillis, 1));
    return new SentRequest(upstream, prefillMillis, nowMillis);
  }

  /** Records the first token, or for a plain service the first byte, of the answer. */
  public void onFirstToken(SentRequest sentRequest, long nowMillis) {
    if (sentRequest.awaitsFirstToken()) {
      sentRequest.firstTokenAtMillis = nowMillis;
      upstreams.get(sentRequest.upstream).pendingPrefillMillis -= sentRequest.prefillMillis;
    }
  }

  /** Records that a request ended, for any reason; a second call has no effect. */
  public void onCompletion(SentRequest sentRequest, long nowMillis) {
    if (sentRequest.ended) {
      return;
    }
    UpstreamState u = upstreams.get(sentRequest.upstream);
    u.ownRequests--;
    addCorrection(u, new Correction(nowMillis, -1));
    if (sentRequest.awaitsFirstToken()) {
      u.pendingPrefillMillis -= sentRequest.prefillMillis;
    } else {
      double observedMillis = nowMillis - sentRequest.firstTokenAtMillis;
      u.holdMillis =
          u.holdMillis < 0
              ? observedMillis
              : u.holdMillis + AVERAGE_WEIGHT * (observedMillis - u.holdMillis);
    }
    sentRequest.ended = true;
  }

  /** Returns the estimated number of running and waiting requests at the upstream. */
  public double outstanding(Candidate candidate, long nowMillis) {
    int reported = candidate.running() + candidate.waiting();
    UpstreamState u = upstreams.get(candidate.name());
    if (u == null) {
      return reported;
    }
    long measuredAtMillis = nowMillis - candidate.loadAgeMillis();
    while (!u.corrections.isEmpty()
        && u.corrections.peekFirst().changedAtMillis <= measuredAtMillis) {
      u.corrections.removeFirst();
    }
    int estimated = reported;
    for (Correction c : u.corrections) {
      estimated += c.delta;
    }
    return Math.max(estimated, u.ownRequests);
  }

  /** Returns the number of this router's unfinished requests at the upstream. */
  public int ownRequests(String upstream) {
    UpstreamState u = upstreams.get(upstream);
    return u == null ? 0 : u.ownRequests;
  }

  /**
   * Returns the total expected prefill time of this router's requests that await their first token.
   */
  public double pendingPrefillMillis(String upstream) {
    UpstreamState u = upstreams.get(upstream);
    return u == null ? 0 : u.pendingPrefillMillis;
  }

  /**
   * Returns the average slot time at the upstream, measured from the first token to the end of a
   * request, or {@code defaultMillis} before the first completion.
   */
  public double holdMillis(String upstream, double defaultMillis) {
    UpstreamState u = upstreams.get(upstream);
    return u == null || u.holdMillis < 0 ? defaultMillis : u.holdMillis;
  }

  /** Removes the state of an upstream, unless this router has unfinished requests there. */
  public void remove(String upstream) {
    if (ownRequests(upstream) == 0) {
      upstreams.remove(upstream);
    }
  }

  private static void addCorrection(UpstreamState upstream, Correction correction) {
    if (upstream.corrections.size() == MAX_CORRECTIONS) {
      upstream.corrections.removeFirst();
    }
    upstream.corrections.addLast(correction);
  }
}
