package org.goldcrestfall.core.prepaid;

import org.goldcrestfall.core.dispatch.RequestSize;

/**
 * What is known about a request at its end that decides how many prepaid tokens it has consumed.
 *
 * @param size the size that its caller announced
 * @param attemptsThatMayHaveRun attempts that no upstream has reported as not run
 * @param responseBegun whether a byte of a response has been passed on
 * @param callerLeft whether the caller closed its connection or cancelled its stream first
 * @param outputTokens upper bound on the output tokens that were passed on
 */
public record RequestCharge(
    RequestSize size,
    int attemptsThatMayHaveRun,
    boolean responseBegun,
    boolean callerLeft,
    long outputTokens) {

  /** Returns the number of consumed tokens: the prompt and the output that was passed on. */
  public long tokens() {
    return hasRun() ? size.promptTokens() + Math.min(outputTokens, size.maxOutputTokens()) : 0;
  }

  /**
   * An engine runs a request from its first token on, and drops one that is cancelled before. With
   * an earlier attempt that failed, it is not known whether that one had begun to run.
   */
  private boolean hasRun() {
    boolean cancelledBeforeFirstToken = callerLeft && !responseBegun && attemptsThatMayHaveRun == 1;
    return attemptsThatMayHaveRun > 0 && !cancelledBeforeFirstToken;
  }
}
