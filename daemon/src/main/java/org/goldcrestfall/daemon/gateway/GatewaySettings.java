package org.goldcrestfall.daemon.gateway;

/**
 * The bounds of a router's request path.
 *
 * @param zone the router's availability zone
 * @param retryRatio repeated sends to a service for each first one, over all routers
 * @param retrySlack repeated sends in a window on top of the ratio, over all routers
 * @param retryWindowMillis the length of that window
 * @param maxBufferedBytes request bodies in memory at the same time
 */
public record GatewaySettings(
    String zone,
    double retryRatio,
    double retrySlack,
    long retryWindowMillis,
    long maxBufferedBytes) {}
