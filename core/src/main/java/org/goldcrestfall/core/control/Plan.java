package org.goldcrestfall.core.control;

import java.util.List;

/**
 * The changes that an intent would make, for an operator to confirm or drop. {@code id} is the log
 * index of the plan's creation, {@code revision} that of its confirmation, 0 until then.
 */
public record Plan(
    long id, String operator, Intent intent, List<Change> changes, State state, long revision) {

  /** The state of a plan. Only an open plan can be confirmed or dropped. */
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
