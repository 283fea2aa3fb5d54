package org.goldcrestfall.core.consensus;

import java.util.List;

/** The state that a member reads from its disk at startup; {@code entries} follow the snapshot. */
public record PersistentState(HardState hardState, Snapshot snapshot, List<Entry> entries) {

  /** Returns the state of a member that starts for the first time. */
  public static PersistentState initial(Members members) {
    return new PersistentState(HardState.INITIAL, Snapshot.initial(members), List.of());
  }
}
