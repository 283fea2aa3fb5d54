package org.goldcrestfall.core.stream;

/** Identifies an answer. Request ids are unique within a workspace. */
public record AnswerKey(String workspace, String requestId) {}
