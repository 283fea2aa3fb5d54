package org.goldcrestfall.core.warmup;

import com.google.common.collect.ImmutableMap;

/**
 * The numbers of all hosts that run or ran a router: 0 for the first one that registered, 1 for the
 * next one, and so on. A host keeps its number.
 *
 * @param index the log index of the last registration; 0 if there was none
 */
public record RouterNumbers(long index, ImmutableMap<String, Integer> byHost) {

  /** No host has registered. */
  public static final RouterNumbers NONE = new RouterNumbers(0, ImmutableMap.of());

  /** Returns the numbers after a registration at a log index; this record if the host has one. */
  public RouterNumbers with(long registrationIndex, String host) {
    if (byHost.containsKey(host)) {
      return this;
    }
    return new RouterNumbers(
        registrationIndex,
        ImmutableMap.<String, Integer>builder().putAll(byHost).put(host, byHost.size()).build());
  }

  /** Returns the position of a host; {@link RouterPosition#NONE} if it has not registered. */
  public RouterPosition positionOf(String host) {
    Integer number = byHost.get(host);
    return number == null ? RouterPosition.NONE : new RouterPosition(number, byHost.size());
  }
}
