package org.goldcrestfall.core.routing;

import static com.google.common.base.Preconditions.checkArgument;

import java.util.List;
import java.util.Set;

/**
 * The properties of a request on which the choice of an upstream depends.
 *
 * @param model model or adapter; empty for a plain service
 * @param prefix chained block hashes of the prompt, see {@link PrefixHasher}
 * @param promptTokens estimated length of the prompt in tokens
 * @param excluded upstreams that must not be chosen: ejected ones, and those where this request has
 *     failed before
 */
public record RoutingRequest(
    String model, List<Long> prefix, int promptTokens, Set<String> excluded) {

  /** Checks the arguments and copies the collections. */
  public RoutingRequest {
    checkArgument(promptTokens >= 0, "promptTokens must not be negative: %s", promptTokens);
    prefix = List.copyOf(prefix);
    excluded = Set.copyOf(excluded);
  }
}
