package org.goldcrestfall.core.admission;

import org.goldcrestfall.core.common.ErrorKind;

/** A request that was refused before it ran, either on arrival or from the queue. */
public record Refusal(QueuedRequest request, ErrorKind kind) {}
