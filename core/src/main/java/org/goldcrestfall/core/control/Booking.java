package org.goldcrestfall.core.control;

import org.goldcrestfall.core.common.Incarnation;

/**
 * The record of a non-idempotent call; {@code body} is the kept answer in Base64, null before the
 * call has ended or after the answer was dropped to bound the state.
 */
public record Booking(
    String workspace,
    String requestId,
    String bodyHash,
    String service,
    long tokens,
    Incarnation router,
    long attempt,
    BookingOutcome outcome,
    int status,
    String contentType,
    String body,
    long atMillis) {}
