package org.goldcrestfall.core.routing;

/**
 * A change of an engine's prefix cache. Events arrive with a delay, and a gap in {@code sequence}
 * means that events were lost.
 *
 * @param sequence sequence number of the event at the engine, increasing by 1
 * @param prefix block hash, see {@link PrefixHasher}
 * @param stored true if the prefix was stored, false if it was evicted
 */
public record CacheEvent(long sequence, long prefix, boolean stored) {}
