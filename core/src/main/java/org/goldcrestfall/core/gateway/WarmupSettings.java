package org.goldcrestfall.core.gateway;

/**
 * How the upstreams of a service warm up.
 *
 * @param durationMillis how long an upstream warms up after its start, in milliseconds
 * @param requestsPerSecond how many requests a second an upstream takes meanwhile from all routers
 *     together; greater than 0
 */
public record WarmupSettings(int durationMillis, double requestsPerSecond) {}
