package org.goldcrestfall.core.gateway;

import java.util.Optional;

/**
 * How a caller may use a route.
 *
 * @param workspace the workspace that holds the caller's key; empty for a route or configuration
 *     that needs no key
 * @param keyIsSecret whether the key that the request carries must not be passed on to upstreams
 */
public record CallerAccess(Optional<WorkspaceSettings> workspace, boolean keyIsSecret) {}
