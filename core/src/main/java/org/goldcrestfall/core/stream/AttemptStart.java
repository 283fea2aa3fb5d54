package org.goldcrestfall.core.stream;

/**
 * The start of an attempt to obtain an answer from an engine.
 *
 * @param attempt number of the attempt, which its events carry
 * @param resumeFrom value of {@code resume_from}, the number of tokens that were already forwarded;
 *     0 requests the complete answer, of which the assembler skips the forwarded part
 */
public record AttemptStart(int attempt, long resumeFrom) {}
