package org.goldcrestfall.core.control;

import java.util.List;

/** A plan that answers an intent; {@code revision} is 0 until the plan is confirmed. */
public record Plan(
    long id, String operator, Intent intent, List<Change> changes, State state, long revision) {

  /** Life cycle of a plan. */
  public enum State {
    OPEN,
    CONFIRMED,
    DROPPED,
    CONFLICTED
  }

  /** Copies the list. */
  public Plan {
    changes = List.copyOf(changes);
  }
}
