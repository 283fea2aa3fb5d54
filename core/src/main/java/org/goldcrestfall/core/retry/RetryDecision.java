package org.goldcrestfall.core.retry;

/**
 * Whether to retry a failed attempt.
 *
 * @param verdict decision, and the reason if it is not to retry
 * @param delayMillis time to wait before the next attempt; 0 unless the verdict is RETRY
 */
public record RetryDecision(Verdict verdict, long delayMillis) {

  /** Whether to retry, or the reason not to. */
  public enum Verdict {
    RETRY,
    NOT_REPEATABLE,
    ATTEMPTS_EXHAUSTED,
    DEADLINE_TOO_NEAR,
    BUDGET_EXHAUSTED
  }

  /** Returns whether to retry. */
  public boolean retry() {
    return verdict == Verdict.RETRY;
  }
}
