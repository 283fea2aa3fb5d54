package org.goldcrestfall.core.control;

/** State of a booking in the log. */
public enum BookingOutcome {
  /** Committed before the call is sent; no outcome known yet. */
  STARTED,
  /** The service answered. */
  RAN,
  /** The call was sent, but no answer arrived. It is never sent again. */
  UNKNOWN,
  /** The call certainly did not reach the service; the charge is refunded. */
  NOT_RUN
}
