package org.goldcrestfall.core.limit;

/**
 * Usage of a scope on one router, as published by gossip.
 *
 * @param demandPerSecond recent requests per second, including refused ones
 * @param running number of requests running now
 */
public record ScopeUsage(double demandPerSecond, int running) {}
