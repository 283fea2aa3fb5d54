package org.goldcrestfall.core.dispatch;

import com.google.common.collect.ImmutableList;
import java.util.List;

/**
 * The size of a request as announced by its caller.
 *
 * @param promptTokens length of the prompt; 0 for a plain service
 * @param maxOutputTokens upper bound on the length of the answer
 * @param parts the parts of the prompt in order; the last one is not shared with other requests
 */
public record RequestSize(
    long promptTokens, long maxOutputTokens, ImmutableList<PromptPart> parts) {

  /** The size of a call to a plain service, which has no prompt. */
  public static final RequestSize PLAIN = new RequestSize(0, 0, ImmutableList.of());

  /** Returns the upper bound on the tokens that the request can consume. */
  public long maxTokens() {
    return promptTokens + maxOutputTokens;
  }

  /** Returns the parts that other requests may share: all but the last one. */
  public List<PromptPart> sharedParts() {
    return parts.subList(0, Math.max(0, parts.size() - 1));
  }

  /** Returns the total tokens of the shared parts. */
  public long sharedTokens() {
    long sum = 0;
    for (PromptPart p : sharedParts()) {
      sum += p.tokens();
    }
    return sum;
  }

  /** Returns the id of the last shared part, or an empty string if there is none. */
  public String lastSharedPartId() {
    return parts.size() < 2 ? "" : parts.get(parts.size() - 2).id();
  }
}
