package org.goldcrestfall.core.prepaid;

import com.google.common.collect.ImmutableList;
import org.goldcrestfall.core.common.TokenCount;

/**
 * The requests of a router that wait for tokens.
 *
 * @param sizes the tokens that each request reserves, in the order of arrival
 * @param wanted the tokens that the router wants to hold in addition, without these requests
 * @param toOpen the tokens of the reserve to open now, without these requests
 */
public record Waiting(ImmutableList<Long> sizes, long wanted, long toOpen) {

  /** Takes counts out of the range of a {@link TokenCount} for the nearest one. */
  public Waiting {
    sizes = sizes.stream().map(TokenCount::clamp).collect(ImmutableList.toImmutableList());
    wanted = TokenCount.clamp(wanted);
    toOpen = TokenCount.clamp(toOpen);
  }

  /** Returns the tokens of those requests that a number of tokens covers together. */
  long covered(long tokens) {
    long covered = 0;
    for (long size : sizes) {
      if (covered + size <= tokens) {
        covered += size;
      }
    }
    return covered;
  }
}
