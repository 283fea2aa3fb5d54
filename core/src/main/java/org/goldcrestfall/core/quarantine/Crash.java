package org.goldcrestfall.core.quarantine;

/**
 * The crash of one incarnation of an upstream.
 *
 * @param upstream the id of the upstream
 * @param startedAtMillis the start of the incarnation, in milliseconds since the epoch
 */
public record Crash(String service, String upstream, long startedAtMillis) {}
