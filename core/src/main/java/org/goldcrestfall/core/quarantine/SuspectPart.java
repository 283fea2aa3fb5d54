package org.goldcrestfall.core.quarantine;

import com.google.common.collect.ImmutableSet;
import java.util.Optional;

/**
 * A part with which answers were lost in crashes of upstreams, and with which none has ended since.
 *
 * @param upstreams the ids of the upstreams that crashed
 * @param companions the parts that were lost in the same crashes, so that any one of them may be
 *     the cause; only requests that have all of them are refused
 * @param quarantinedAtMillis the time since which requests with the part are refused, in
 *     milliseconds since the epoch; 0 if they are not
 * @param soundAfter how far an answer with the part must have been written to show that the part
 *     did not cause one of the crashes; empty if only the end of an answer shows it
 */
public record SuspectPart(
    ServicePart part,
    ImmutableSet<String> upstreams,
    ImmutableSet<String> companions,
    long quarantinedAtMillis,
    Optional<AnswerProgress> soundAfter) {}
