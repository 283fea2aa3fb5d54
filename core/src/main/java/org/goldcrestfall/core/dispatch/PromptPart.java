package org.goldcrestfall.core.dispatch;

import org.goldcrestfall.core.common.TokenCount;

/**
 * A part of a prompt. Requests whose prompts begin with the same parts share the cached work on
 * them.
 *
 * @param id identifies the content of the part
 * @param tokens length of the part
 */
public record PromptPart(String id, TokenCount tokens) {}
