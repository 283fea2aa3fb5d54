package org.goldcrestfall.core.common;

import static org.goldcrestfall.core.common.ExecutionState.NOT_RUN;
import static org.goldcrestfall.core.common.ExecutionState.RAN;
import static org.goldcrestfall.core.common.ExecutionState.UNKNOWN_OUTCOME;

import com.google.common.base.Ascii;

/**
 * The complete list of error kinds. Each has an HTTP status and states whether the request ran and
 * whether it is useful to retry the request unchanged under the same id.
 */
public enum ErrorKind {
  MALFORMED_REQUEST(400, NOT_RUN, false),
  INVALID_PARAMETER(400, NOT_RUN, false),
  BODY_TOO_LARGE(413, NOT_RUN, false),
  HEADER_TOO_LARGE(431, NOT_RUN, false),
  UNKNOWN_MODEL(404, NOT_RUN, false),
  UNKNOWN_SERVICE(404, NOT_RUN, false),
  NOT_FOUND(404, NOT_RUN, false),
  UNAUTHENTICATED(401, NOT_RUN, false),
  KEY_REVOKED(401, NOT_RUN, false),
  FORBIDDEN(403, NOT_RUN, false),
  REQUEST_ID_REUSED(422, NOT_RUN, false),
  BUDGET_EXHAUSTED(402, NOT_RUN, false),
  RATE_LIMITED(429, NOT_RUN, true),
  CONCURRENCY_LIMITED(429, NOT_RUN, true),
  REQUEST_TIMEOUT(408, NOT_RUN, true),
  OVERLOADED(503, NOT_RUN, true),
  DEADLINE_UNREACHABLE(503, NOT_RUN, true),
  NO_UPSTREAM(503, NOT_RUN, true),
  NO_QUORUM(503, NOT_RUN, true),
  DRAINING(503, NOT_RUN, true),
  /** The router has no configuration yet. */
  NOT_CONFIGURED(503, NOT_RUN, true),
  /**
   * The router holds too few prepaid tokens and cannot reach any host that knows whether more are
   * available.
   */
  BUDGET_UNAVAILABLE(503, NOT_RUN, true),
  /** The prompt has a part under which upstreams crashed. */
  PROMPT_QUARANTINED(503, NOT_RUN, true),
  UPSTREAM_FAILED(502, RAN, true),
  DEADLINE_EXCEEDED(504, RAN, true),
  BOOKING_IN_PROGRESS(409, UNKNOWN_OUTCOME, true),
  /** This attempt did not run, but an earlier one under the same id may have. */
  BOOKING_UNDECIDED(409, UNKNOWN_OUTCOME, true),
  OUTCOME_UNKNOWN(409, UNKNOWN_OUTCOME, false),
  PLAN_CONFLICT(409, NOT_RUN, false),
  PLAN_CLOSED(409, NOT_RUN, false),
  OPERATION_REUSED(409, NOT_RUN, false),
  INTERNAL(500, UNKNOWN_OUTCOME, true);

  private final int status;
  private final ExecutionState executionState;
  private final boolean retryable;

  ErrorKind(int status, ExecutionState executionState, boolean retryable) {
    this.status = status;
    this.executionState = executionState;
    this.retryable = retryable;
  }

  /** Returns the HTTP status. */
  public int status() {
    return status;
  }

  /** Returns what is known about the execution of the request. */
  public ExecutionState executionState() {
    return executionState;
  }

  /** Returns whether it is useful to retry the request. */
  public boolean retryable() {
    return retryable;
  }

  /** Returns the machine-readable code in lower snake case. */
  public String code() {
    return Ascii.toLowerCase(name());
  }
}
