package org.goldcrestfall.core.control;

/**
 * An order to an engine. {@code fencing} is its fencing number, the log index of its confirmation;
 * the engine can refuse an order with a lower number than the last one that it saw.
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
