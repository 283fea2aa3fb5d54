package org.goldcrestfall.core.gateway;

/** One of the services that share a route's requests, in proportion to their weights. */
public record WeightedService(String service, int weight) {}
