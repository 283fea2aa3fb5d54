package org.goldcrestfall.daemon.gateway;

import com.google.common.collect.ImmutableSet;

/**
 * The names of the HTTP headers that callers, routers and upstreams use.
 *
 * @param requestId the id of a caller's attempt, which upstreams return
 * @param remainingMillis the milliseconds that the caller waits, or that an upstream may take
 * @param signature an upstream's signature of a response
 * @param expectedUpstream the id of the only upstream that may run the request
 * @param notRun present on a response if the upstream has not run the request
 * @param workspace the workspace that a request belongs to, for the upstream
 * @param tokenCount the prompt tokens and the maximum output tokens of a request
 * @param promptParts the parts of a prompt as a comma-separated list of ID:TOKENS
 * @param load the numbers of running and waiting requests at an upstream and of its slots
 * @param rateLimit the requests a second that an upstream takes from all routers together
 * @param engineRank the priority at an engine, 0 to 9, where 0 is the most urgent
 * @param lastEventId the id of the last event of a stream that the caller has received
 * @param authScheme the scheme of the Authorization header, including the space after it
 * @param reservedHeaders headers that only the system may set, in lower case; removed from callers'
 *     requests
 */
public record GatewayHeaderNames(
    String requestId,
    String remainingMillis,
    String signature,
    String expectedUpstream,
    String notRun,
    String workspace,
    String tokenCount,
    String promptParts,
    String load,
    String rateLimit,
    String engineRank,
    String lastEventId,
    String authScheme,
    ImmutableSet<String> reservedHeaders) {}
