package org.goldcrestfall.core.dispatch;

/**
 * A shared prompt part that a router has sent to an upstream.
 *
 * @param upstream id of the upstream, which has probably cached the part
 */
public record CachedPart(String upstream, PromptPart part) {}
