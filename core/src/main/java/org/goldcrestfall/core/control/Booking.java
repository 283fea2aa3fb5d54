package org.goldcrestfall.core.control;

import org.goldcrestfall.core.common.Incarnation;

/** The record of a non-idempotent call; {@code body} is the kept answer in Base64. */
public record Booking(
    String workspace,
    String requestId,
    String bodyHash,
    String service,
    long tokens,
    Incarnation router,
    BookingOutcome outcome,
    int status,
    String contentType,
    String body,
    long atMillis) {}
