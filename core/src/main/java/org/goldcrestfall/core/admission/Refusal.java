package org.goldcrestfall.core.admission;

import org.goldcrestfall.core.common.ErrorKind;

/** A request that was refused before it was dispatched, either on arrival or while it waited. */
public record Refusal(QueuedRequest request, ErrorKind kind) {}
