package org.goldcrestfall.core.control;

/** The outcome of a booking as far as the control group knows it. */
public enum BookingOutcome {
  /** The start is committed; the call is sent only after that. No outcome is known yet. */
  STARTED,
  /** The service responded. */
  RAN,
  /** The call may have been sent, but no response is known. It is never sent again. */
  UNKNOWN,
  /** The call certainly did not reach the service; its charge is refunded. */
  NOT_RUN
}
