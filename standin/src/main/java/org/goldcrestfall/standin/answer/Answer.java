package org.goldcrestfall.standin.answer;

import com.google.common.hash.Hashing;

/**
 * The text that the stand-in engine generates for a prompt. Token {@code i} is a pure function of
 * the whole prompt and {@code i}, so a client can verify that an answer is complete and belongs to
 * its own request.
 */
public final class Answer {

  private static final int WORD_COUNT = 4096;
  private static final int SYLLABLE_BITS = 4;
  private static final String[] SYLLABLES = {
    "ba", "ce", "di", "fo", "gu", "ha", "je", "ki", "lo", "mu", "na", "pe", "ri", "so", "tu", "va"
  };
  private static final String[] WORDS = buildWords();

  /**
   * Multiplier of the token index: 2^64 divided by the golden ratio. With plain {@code seed +
   * index}, the tokens of two prompts with close seeds would be shifted copies.
   */
  private static final long INDEX_MULTIPLIER = 0x9E3779B97F4A7C15L;

  private static final int MIN_NATURAL_LENGTH_TOKENS = 16;
  private static final int NATURAL_LENGTH_RANGE_TOKENS = 1009;

  private final long seed;

  private Answer(long seed) {
    this.seed = seed;
  }

  /** Returns the answer to {@code prompt}. */
  public static Answer to(Prompt prompt) {
    return new Answer(prompt.hash());
  }

  /** Returns the text of token {@code index}, which needs no escaping in JSON. */
  public String token(int index) {
    int hash = Hashing.murmur3_32_fixed().hashLong(seed + index * INDEX_MULTIPLIER).asInt();
    return WORDS[hash & (WORD_COUNT - 1)];
  }

  /**
   * Returns the number of tokens of the answer if the request allows {@code maxTokens}. One answer
   * in four ends naturally after 16 to 1024 tokens; the others are cut off at the limit.
   */
  public int tokenCount(int maxTokens) {
    return hasNaturalEnd() ? Math.min(maxTokens, naturalLength()) : maxTokens;
  }

  /** Returns {@code stop} if the answer ends naturally, {@code length} if the limit cuts it off. */
  public String finishReason(int maxTokens) {
    return hasNaturalEnd() && naturalLength() <= maxTokens ? "stop" : "length";
  }

  /** Returns whether the answer ends naturally if the limit allows it. */
  public boolean hasNaturalEnd() {
    return (seed & 3) == 0;
  }

  /** Returns the text of the tokens from {@code from} (inclusive) to {@code to} (exclusive). */
  public String text(int from, int to) {
    StringBuilder text = new StringBuilder();
    for (int i = from; i < to; i++) {
      text.append(token(i));
    }
    return text.toString();
  }

  private int naturalLength() {
    return MIN_NATURAL_LENGTH_TOKENS + (int) ((seed >>> 2) % NATURAL_LENGTH_RANGE_TOKENS);
  }

  private static String[] buildWords() {
    String[] words = new String[WORD_COUNT];
    for (int i = 0; i < WORD_COUNT; i++) {
      words[i] =
          " "
              + SYLLABLES[i & 15]
              + SYLLABLES[(i >> SYLLABLE_BITS) & 15]
              + SYLLABLES[(i >> (2 * SYLLABLE_BITS)) & 15];
    }
    return words;
  }
}
