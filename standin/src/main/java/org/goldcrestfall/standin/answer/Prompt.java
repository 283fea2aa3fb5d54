package org.goldcrestfall.standin.answer;

import com.fasterxml.jackson.databind.node.TextNode;
import com.google.common.base.Utf8;
import com.google.common.hash.Hasher;
import com.google.common.hash.Hashing;
import java.util.List;

/** The messages of a request, with the token count and the cacheable text that the engine uses. */
public record Prompt(List<Message> messages) {

  private static final int BYTES_PER_TOKEN = 4;

  /** Copies the list. */
  public Prompt {
    messages = List.copyOf(messages);
  }

  /** Returns a prompt of one user message. */
  public static Prompt ofUser(String content) {
    return new Prompt(List.of(new Message("user", content)));
  }

  /** Returns the token count; it never exceeds the UTF-8 bytes of the message contents. */
  public int tokens() {
    int tokens = 0;
    for (Message message : messages) {
      tokens += countTokens(message);
    }
    return tokens;
  }

  /** Returns the text whose blocks the prefix cache holds, in the form that routers hash. */
  public String text() {
    StringBuilder text = new StringBuilder();
    for (Message message : messages) {
      text.append(message.role()).append('\n');
      text.append(TextNode.valueOf(message.content())).append('\n');
    }
    return text.toString();
  }

  /** Returns a hash of every role and content, in order. */
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
