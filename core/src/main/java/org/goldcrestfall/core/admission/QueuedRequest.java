package org.goldcrestfall.core.admission;

import static com.google.common.base.Preconditions.checkArgument;

/**
 * A request that waits for a slot.
 *
 * @param id id that is unique on this router
 * @param patienceClass name of the patience class
 * @param pricePerMille price of a token in thousandths of a budget token; the lowest price is
 *     refused first
 * @param priority priority of the class; a higher value comes first
 * @param deadlineMillis deadline of the first token on the router's clock
 * @param firstTokenMillis expected time from dispatch to the first token
 * @param holdMillis expected time for which the request holds its slot
 * @param bytes memory that the request takes while it waits
 */
public record QueuedRequest(
    String id,
    String patienceClass,
    long pricePerMille,
    int priority,
    long deadlineMillis,
    long firstTokenMillis,
    long holdMillis,
    long bytes) {

  /** Checks the arguments. */
  public QueuedRequest {
    checkArgument(
        firstTokenMillis >= 0, "firstTokenMillis must not be negative: %s", firstTokenMillis);
    checkArgument(holdMillis > 0, "holdMillis must be positive: %s", holdMillis);
    checkArgument(bytes >= 0, "bytes must not be negative: %s", bytes);
  }

  /** Returns the latest time of dispatch at which the deadline can still be met. */
  public long latestStartMillis() {
    return deadlineMillis - firstTokenMillis;
  }
}
