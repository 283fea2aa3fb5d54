package org.goldcrestfall.daemon.gateway;

/**
 * The settings of a router's request path.
 *
 * @param zone the router's availability zone
 * @param retryRatio allowed retries per first attempt to a service, over all routers
 * @param retrySlack allowed retries per window in addition to the ratio, over all routers
 * @param retryWindowMillis length of that window
 * @param maxBufferedBytes limit on the total size of request bodies in memory
 * @param maxResponseBytes limit on the total size of the parts of responses in memory
 */
public record GatewaySettings(
    String zone,
    double retryRatio,
    double retrySlack,
    long retryWindowMillis,
    long maxBufferedBytes,
    long maxResponseBytes) {}
