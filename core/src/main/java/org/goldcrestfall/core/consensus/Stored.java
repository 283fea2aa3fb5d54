package org.goldcrestfall.core.consensus;

import java.util.List;

/** The state that a member reads from its disk at startup; {@code entries} follow the snapshot. */
public record Stored(HardState hardState, Snapshot snapshot, List<Entry> entries) {

  /** Returns the state of a member that starts for the first time. */
  public static Stored initial(Members members) {
    return new Stored(HardState.INITIAL, Snapshot.initial(members), List.of());
  }
}
