package org.goldcrestfall.core.gateway;

/**
 * The size of one model engine.
 *
 * @param slots the requests that run at the same time
 * @param cacheTokens the tokens of running requests and cached prompt parts that fit into memory
 * @param tokensPerEvent the most output tokens in one event of a stream
 */
public record EngineSettings(int slots, long cacheTokens, int tokensPerEvent) {}
