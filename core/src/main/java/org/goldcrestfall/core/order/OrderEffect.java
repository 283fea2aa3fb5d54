package org.goldcrestfall.core.order;

import org.goldcrestfall.core.control.ControlCommand.FinishOrder;
import org.goldcrestfall.core.control.EngineOrder;

/** An action that {@link OrderController} asks its caller to carry out. */
public sealed interface OrderEffect {

  /**
   * Sends the order, unless the clock has passed {@code notAfterMillis} when the first byte is
   * about to be written. Without an answer, the attempt ends with {@link OrderResult#UNKNOWN} at
   * the order timeout.
   */
  record Send(EngineOrder order, long notAfterMillis) implements OrderEffect {}

  /** Proposes the command that finishes an order to the control group. */
  record Finish(FinishOrder command) implements OrderEffect {}
}
