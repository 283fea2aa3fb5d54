package org.goldcrestfall.core.control;

import java.util.List;

/** The whole control state as of a log index, in a form that Jackson serializes. */
public record ControlSnapshot(
    int version,
    long index,
    List<HostRecord> hosts,
    List<Budget.Saved> budgets,
    BillingTable.Saved billing,
    BookingTable.Saved bookings,
    ConfigHistory.Saved config,
    PlanTable.Saved plans,
    List<EngineOrder> orders) {

  /** The snapshot version that this release writes, and the only one that it reads. */
  public static final int VERSION = 1;
}
