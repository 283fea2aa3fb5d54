package org.goldcrestfall.core.order;

/** How an attempt to send an order ended. */
public enum OrderResult {
  /** The engine has carried out the order. */
  DONE,
  /** The engine refused the order because it has seen a higher fencing number. */
  SUPERSEDED,
  /** The engine answered that it can't carry out the order. */
  FAILED,
  /** The order certainly did not reach the engine. */
  NOT_SENT,
  /** No answer arrived; the engine may still carry out the order until the order timeout. */
  UNKNOWN
}
