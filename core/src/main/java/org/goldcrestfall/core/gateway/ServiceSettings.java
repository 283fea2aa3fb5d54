package org.goldcrestfall.core.gateway;

import java.util.Optional;

/**
 * A service that upstreams announce themselves for.
 *
 * @param maxConnections the connections that one upstream accepts from all callers together
 * @param engine the size of a model engine, if the upstreams are such
 */
public record ServiceSettings(String name, int maxConnections, Optional<EngineSettings> engine) {}
