package org.goldcrestfall.core.dispatch;

import com.google.common.collect.ImmutableList;
import java.util.List;
import org.goldcrestfall.core.common.TokenCount;

/**
 * The size of a request as announced by its caller.
 *
 * @param promptTokens length of the prompt; 0 for a plain service
 * @param maxOutputTokens upper bound on the length of the answer
 * @param parts the parts of the prompt in order; the last one is not shared with other requests
 */
public record RequestSize(
    TokenCount promptTokens, TokenCount maxOutputTokens, ImmutableList<PromptPart> parts) {

  /** The size of a call to a plain service, which has no prompt. */
  public static final RequestSize PLAIN =
      new RequestSize(TokenCount.ZERO, TokenCount.ZERO, ImmutableList.of());

  /** Returns the upper bound on the tokens that the request can consume. */
  public TokenCount maxTokens() {
    return promptTokens.plus(maxOutputTokens);
  }

  /** Returns the parts that other requests may share: all but the last one. */
  public List<PromptPart> sharedParts() {
    return parts.subList(0, Math.max(0, parts.size() - 1));
  }

  /** Returns the total tokens of the shared parts. */
  public TokenCount sharedTokens() {
    TokenCount sum = TokenCount.ZERO;
    for (PromptPart p : sharedParts()) {
      sum = sum.plus(p.tokens());
    }
    return sum;
  }

  /**
   * Returns the tokens of the prompt beyond its shared parts; negative if the parts are longer than
   * the stated prompt.
   */
  public long unsharedPromptTokens() {
    return promptTokens.value() - sharedTokens().value();
  }

  /** Returns whether the request has a prompt, unlike a call to a plain service. */
  public boolean hasPrompt() {
    return promptTokens.value() > 0;
  }

  /** Returns the id of the last shared part, or an empty string if there is none. */
  public String lastSharedPartId() {
    return parts.size() < 2 ? "" : parts.get(parts.size() - 2).id();
  }
}
