package org.goldcrestfall.core.order;

/** The result of an attempt to send an order. */
public enum OrderResult {
  /** The engine executed the order. */
  DONE,
  /** The engine refused the order because it has seen a higher fencing number. */
  SUPERSEDED,
  /** The engine reported that it cannot execute the order. */
  FAILED,
  /** The order certainly did not reach the engine. */
  NOT_SENT,
  /** No answer arrived; the engine may still execute the order until the order timeout. */
  UNKNOWN
}
