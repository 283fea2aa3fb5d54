package org.goldcrestfall.core.dispatch;

import com.google.common.collect.ImmutableList;
import java.util.List;

/**
 * What a request says of its size.
 *
 * @param promptTokens the tokens to be read; 0 for a plain service
 * @param maxOutputTokens the most tokens that the answer may have
 * @param parts the parts of the prompt in order; the last one is the request's own
 */
public record Workload(long promptTokens, long maxOutputTokens, ImmutableList<PromptPart> parts) {

  /** A call of a plain service. */
  public static final Workload PLAIN = new Workload(0, 0, ImmutableList.of());

  /** Returns the most tokens that the request can consume. */
  public long maxTokens() {
    return promptTokens + maxOutputTokens;
  }

  /** Returns the parts that other requests can share; the last one is the request's own. */
  public List<PromptPart> sharedParts() {
    return parts.subList(0, Math.max(0, parts.size() - 1));
  }

  /** Returns the tokens of all parts that other requests can share. */
  public long sharedTokens() {
    long sum = 0;
    for (PromptPart p : sharedParts()) {
      sum += p.tokens();
    }
    return sum;
  }

  /** Returns the id of the last part that other requests can share, or an empty string. */
  public String lastSharedPartId() {
    return parts.size() < 2 ? "" : parts.get(parts.size() - 2).id();
  }
}
