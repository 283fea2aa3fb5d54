package org.goldcrestfall.core.control;

import org.goldcrestfall.core.common.Incarnation;

/**
 * The record of a non-idempotent call to a plain service. {@code body} is the response body in
 * Base64, null before the call has ended or after the body was dropped to bound the state.
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
