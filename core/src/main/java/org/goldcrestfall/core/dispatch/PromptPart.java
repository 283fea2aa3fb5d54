package org.goldcrestfall.core.dispatch;

/** A part of a prompt; requests that begin with the same parts share them. */
public record PromptPart(String id, long tokens) {}
