package org.goldcrestfall.core.gateway;

import java.util.Optional;

/**
 * A service, whose upstreams announce themselves.
 *
 * @param maxConnections the maximum number of connections that one upstream accepts in total
 * @param engine the capacity of one upstream, if the upstreams are model engines
 * @param warmup the limit of upstreams that have just started, if there is one
 */
public record ServiceSettings(
    String name,
    int maxConnections,
    Optional<EngineSettings> engine,
    Optional<WarmupSettings> warmup) {}
