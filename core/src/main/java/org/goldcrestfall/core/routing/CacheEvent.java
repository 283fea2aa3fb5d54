package org.goldcrestfall.core.routing;

/**
 * A change of an engine's prefix cache. Events arrive late, and a gap in {@code sequence} means
 * that events were lost.
 *
 * @param sequence number of the event at the engine, rising by 1
 * @param prefix block hash, see {@link PrefixHasher}
 * @param stored true when the prefix was stored, false when it was evicted
 */
public record CacheEvent(long sequence, long prefix, boolean stored) {}
