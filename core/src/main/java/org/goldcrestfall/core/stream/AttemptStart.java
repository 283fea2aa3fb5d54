package org.goldcrestfall.core.stream;

/**
 * What to ask the next engine for.
 *
 * @param attempt number that tags the events of this attempt
 * @param resumeFrom value of {@code resume_from}: tokens that were already passed on; 0 asks for
 *     the whole answer, of which the assembler skips the known part
 */
public record AttemptStart(int attempt, long resumeFrom) {}
