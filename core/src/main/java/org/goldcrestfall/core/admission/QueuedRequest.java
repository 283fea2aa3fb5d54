package org.goldcrestfall.core.admission;

import static com.google.common.base.Preconditions.checkArgument;

/**
 * A request that waits for a slot.
 *
 * @param id unique id on this router
 * @param patienceClass name of the patience class
 * @param pricePerMille price of the class; the lowest is refused first
 * @param priority priority of the class; higher is sooner
 * @param deadlineMillis latest time of the first token on the router's clock
 * @param leadMillis expected time from dispatch to the first token
 * @param holdMillis expected time that the request holds its slot
 * @param bytes memory of the request while it waits
 */
public record QueuedRequest(
    String id,
    String patienceClass,
    long pricePerMille,
    int priority,
    long deadlineMillis,
    long leadMillis,
    long holdMillis,
    long bytes) {

  /** Checks the arguments. */
  public QueuedRequest {
    checkArgument(leadMillis >= 0, "leadMillis must not be negative: %s", leadMillis);
    checkArgument(holdMillis > 0, "holdMillis must be positive: %s", holdMillis);
    checkArgument(bytes >= 0, "bytes must not be negative: %s", bytes);
  }

  /** Returns the latest time of dispatch at which the deadline can be met. */
  public long latestStartMillis() {
    return deadlineMillis - leadMillis;
  }
}
