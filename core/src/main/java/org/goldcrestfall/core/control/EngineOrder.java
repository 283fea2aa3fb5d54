package org.goldcrestfall.core.control;

/** An order to an engine; {@code fencing} is the log index of its confirmation. */
public record EngineOrder(
    long fencing,
    String engine,
    String action,
    String model,
    State state,
    String detail,
    long queuedAtMillis,
    long finishedAtMillis) {

  /** Life cycle of an order. */
  public enum State {
    QUEUED,
    DONE,
    FAILED
  }
}
