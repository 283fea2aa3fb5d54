package org.goldcrestfall.core.prepaid;

import com.google.common.collect.ImmutableList;
import java.util.Optional;
import org.goldcrestfall.core.common.TokenCount;

/**
 * The demand of a router incarnation for one workspace, in tokens. Totals are cumulative over the
 * lifetime of the incarnation.
 *
 * @param returnedTotal all returned tokens
 * @param openReturnedTotal the part of the returned tokens that was open
 * @param openedTotal all opened tokens
 * @param wanted the tokens that the router wants to hold in addition
 * @param needed the part of {@code wanted} that a waiting request needs; it is granted even if few
 *     tokens are available
 * @param toOpen the tokens of the reserve to open now
 * @param held the tokens that no request uses, open or not
 * @param waiting the requests behind {@code needed}; empty if the router's build does not name them
 */
public record Demand(
    String workspace,
    long returnedTotal,
    long openReturnedTotal,
    long openedTotal,
    long wanted,
    long needed,
    long toOpen,
    long held,
    Optional<Waiting> waiting) {

  /** Takes counts out of the range of a {@link TokenCount} for the nearest one. */
  public Demand {
    returnedTotal = TokenCount.clamp(returnedTotal);
    openReturnedTotal = TokenCount.clamp(openReturnedTotal);
    openedTotal = TokenCount.clamp(openedTotal);
    wanted = TokenCount.clamp(wanted);
    needed = TokenCount.clamp(needed);
    toOpen = TokenCount.clamp(toOpen);
    held = TokenCount.clamp(held);
  }

  /** Returns the waiting requests, or one that needs all that is missing if they are not named. */
  Waiting waitingOrSum() {
    return waiting.orElseGet(
        () ->
            needed == 0
                ? new Waiting(ImmutableList.of(), wanted, toOpen)
                : new Waiting(ImmutableList.of(needed + held), wanted, 0));
  }
}
