package org.goldcrestfall.core.control;

/**
 * An order to an engine. {@code fencing} is its fencing number, by which the engine can refuse an
 * order that is older than the last one it saw: the log index of the order's confirmation.
 */
public record EngineOrder(
    long fencing,
    String engine,
    String action,
    String model,
    State state,
    String detail,
    long queuedAtMillis,
    long finishedAtMillis) {

  /** The state of an order. */
  public enum State {
    QUEUED,
    DONE,
    FAILED
  }
}
