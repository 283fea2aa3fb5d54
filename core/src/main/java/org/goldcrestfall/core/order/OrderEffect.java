package org.goldcrestfall.core.order;

import org.goldcrestfall.core.control.ControlCommand.FinishOrder;
import org.goldcrestfall.core.control.EngineOrder;

/** What the leader has to do for the orders to engines. */
public sealed interface OrderEffect {

  /**
   * Send the order, unless the clock has passed {@code notAfterMillis} when the first byte is about
   * to be written, and give up on the answer after the order timeout.
   */
  record Send(EngineOrder order, long notAfterMillis) implements OrderEffect {}

  /** Propose the command. */
  record Finish(FinishOrder command) implements OrderEffect {}
}
