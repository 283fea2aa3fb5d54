package org.goldcrestfall.core.gateway;

import java.util.Optional;

/**
 * A service, whose upstreams announce themselves.
 *
 * @param maxConnections the maximum number of connections that one upstream accepts in total
 * @param engine the capacity of one upstream, if the upstreams are model engines
 */
public record ServiceSettings(String name, int maxConnections, Optional<EngineSettings> engine) {}
