package org.goldcrestfall.core.budget;

/**
 * Limits the use of an allotment to an upper bound that the next incarnation of the host can prove.
 */
@FunctionalInterface
public interface UseLimit {

  /** No limit, for a router without a disk, whose next incarnation cannot prove anything. */
  UseLimit NONE = (workspace, total) -> true;

  /** Returns whether the cumulative use may now rise to {@code total} tokens. */
  boolean allows(String workspace, long total);
}
