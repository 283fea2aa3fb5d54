package org.goldcrestfall.core.retry;

/**
 * Whether to send again.
 *
 * @param verdict the decision and its reason
 * @param delayMillis time to wait before the next attempt; 0 unless the verdict is RETRY
 */
public record RetryDecision(Verdict verdict, long delayMillis) {

  /** Decision and reason. */
  public enum Verdict {
    RETRY,
    NOT_REPEATABLE,
    ATTEMPTS_EXHAUSTED,
    DEADLINE_TOO_NEAR,
    BUDGET_EXHAUSTED
  }

  /** Returns whether to send again. */
  public boolean retry() {
    return verdict == Verdict.RETRY;
  }
}
