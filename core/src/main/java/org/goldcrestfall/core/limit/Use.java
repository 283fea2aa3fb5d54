package org.goldcrestfall.core.limit;

/**
 * Use of a scope on one router, carried by gossip.
 *
 * @param demandPerSecond recent requests a second, refused ones included
 * @param running requests that run now
 */
public record Use(double demandPerSecond, int running) {}
