package org.goldcrestfall.core.gateway;

/** One of the services that share the requests of a route in proportion to their weights. */
public record WeightedService(String service, int weight) {}
