package org.goldcrestfall.core.quarantine;

import com.google.common.collect.ImmutableSet;

/**
 * A part with which no answer has begun since an upstream crashed under it.
 *
 * @param upstreams the ids of the upstreams that crashed
 * @param companions the parts that were lost in the same crashes, so that any one of them may be
 *     the cause; only requests that have all of them are refused
 * @param quarantinedAtMillis the time since which requests with the part are refused, in
 *     milliseconds since the epoch; 0 if they are not
 */
public record SuspectPart(
    ServicePart part,
    ImmutableSet<String> upstreams,
    ImmutableSet<String> companions,
    long quarantinedAtMillis) {}
