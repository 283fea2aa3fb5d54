package org.goldcrestfall.core.stream;

/** Identity of an answer: request ids are unique within a workspace. */
public record AnswerKey(String workspace, String requestId) {}
