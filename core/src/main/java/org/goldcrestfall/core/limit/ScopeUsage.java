package org.goldcrestfall.core.limit;

/**
 * Usage of a scope, which is a workspace or an API key, on one router, as published by gossip.
 *
 * @param demandPerSecond recent requests per second, including refused ones
 * @param running number of requests running now
 */
public record ScopeUsage(double demandPerSecond, int running) {}
