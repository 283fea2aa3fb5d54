package org.goldcrestfall.core.gateway;

/**
 * The capacity of one model engine.
 *
 * @param slots the maximum number of concurrent requests
 * @param cacheTokens the number of tokens, of running requests and cached prompt parts together,
 *     that fit into memory
 * @param tokensPerEvent the maximum number of output tokens in one event of a stream
 */
public record EngineSettings(int slots, long cacheTokens, int tokensPerEvent) {}
