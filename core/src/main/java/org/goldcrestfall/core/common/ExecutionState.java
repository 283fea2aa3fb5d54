package org.goldcrestfall.core.common;

import com.google.common.base.Ascii;

/** What is known about the execution of a request that was answered with an error. */
public enum ExecutionState {
  /** The request certainly did not run. */
  NOT_RUN,
  /** The request may or may not have run. */
  UNKNOWN_OUTCOME,
  /** The request ran, at least in part. */
  RAN;

  /** Returns the machine-readable code in lower snake case. */
  public String code() {
    return Ascii.toLowerCase(name());
  }
}
