package org.goldcrestfall.core.budget;

/** Limits the use of an allotment to what the next incarnation of the host can prove. */
@FunctionalInterface
public interface UseLimit {

  /** The limit of a router without a disk: nothing can be proved, so nothing is limited. */
  UseLimit NONE = (workspace, total) -> true;

  /** Returns whether the use may rise to {@code total} cumulative tokens now. */
  boolean allows(String workspace, long total);
}
