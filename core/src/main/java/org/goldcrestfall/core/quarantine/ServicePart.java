package org.goldcrestfall.core.quarantine;

/**
 * A prompt part as the upstreams of one service receive it.
 *
 * @param part the id of the part
 */
public record ServicePart(String service, String part) {}
