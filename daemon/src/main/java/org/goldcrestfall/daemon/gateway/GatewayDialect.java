package org.goldcrestfall.daemon.gateway;

import com.google.common.collect.ImmutableSet;

/**
 * The names of the headers that callers, routers and upstreams exchange.
 *
 * @param requestId the id of a caller's attempt; upstreams return it
 * @param remainingMillis how long the caller waits, and how long an upstream may work
 * @param signature proof that an answer is an upstream's
 * @param expectedUpstream the id of the upstream that may run a request
 * @param notRun on an answer of an upstream that has not run the request
 * @param workspace the workspace that a request belongs to, for the upstream
 * @param tokenCount the prompt tokens and the most output tokens of a request
 * @param promptParts the parts of a prompt as comma-separated ID:TOKENS
 * @param load the requests running and waiting at an upstream, and its slots
 * @param engineRank the rank at an engine, 0 to 9, where 0 goes first
 * @param lastEventId the last event of a stream that the reader has
 * @param keyScheme the scheme of the authorization header, with the space behind it
 * @param ownHeaders what only the system may set, in lower case; dropped from callers' requests
 */
public record GatewayDialect(
    String requestId,
    String remainingMillis,
    String signature,
    String expectedUpstream,
    String notRun,
    String workspace,
    String tokenCount,
    String promptParts,
    String load,
    String engineRank,
    String lastEventId,
    String authScheme,
    ImmutableSet<String> reservedHeaders) {}
