package org.goldcrestfall.standin.answer;

import com.fasterxml.jackson.databind.node.TextNode;
import com.google.common.base.Utf8;
import com.google.common.hash.Hasher;
import com.google.common.hash.Hashing;
import java.util.List;

/** The messages of a request, with the token count and the text that the prefix cache hashes. */
public record Prompt(List<Message> messages) {

  private static final int BYTES_PER_TOKEN = 4;

  /** Creates a prompt with a copy of the list. */
  public Prompt {
    messages = List.copyOf(messages);
  }

  /** Returns a prompt that consists of one user message. */
  public static Prompt ofUser(String content) {
    return new Prompt(List.of(new Message("user", content)));
  }

  /**
   * Returns the number of prompt tokens: a quarter of the UTF-8 bytes of each message content,
   * rounded up, and therefore never more than the bytes of all contents.
   */
  public int tokenCount() {
    int tokens = 0;
    for (Message message : messages) {
      tokens += countTokens(message);
    }
    return tokens;
  }

  /** Returns the text from which the prefix cache forms blocks; routers hash the same text. */
  public String text() {
    StringBuilder text = new StringBuilder();
    for (Message message : messages) {
      text.append(message.role()).append('\n');
      text.append(TextNode.valueOf(message.content())).append('\n');
    }
    return text.toString();
  }

  /** Returns a hash of the roles and contents of all messages, in order. */
  long hash() {
    Hasher hasher = Hashing.murmur3_128().newHasher();
    for (Message message : messages) {
      hasher.putInt(message.role().length()).putUnencodedChars(message.role());
      hasher.putInt(message.content().length()).putUnencodedChars(message.content());
    }
    return hasher.hash().asLong();
  }

  private static int countTokens(Message message) {
    return (Utf8.encodedLength(message.content()) + BYTES_PER_TOKEN - 1) / BYTES_PER_TOKEN;
  }
}
