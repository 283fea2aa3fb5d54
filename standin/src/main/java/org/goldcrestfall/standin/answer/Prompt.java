package org.goldcrestfall.standin.answer;

import com.google.common.base.Utf8;
import com.google.common.hash.Hasher;
import com.google.common.hash.Hashing;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;

/** The messages of a request, with the token counts and prefix ids that the engine uses. */
public record Prompt(List<Message> messages) {

  private static final int BYTES_PER_TOKEN = 4;
  private static final int PREFIX_ID_HEX_DIGITS = 16;

  /** A prefix of the prompt: id of its first messages, and the tokens in them. */
  public record Prefix(String id, int tokens) {}

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
      tokens += tokensOf(message);
    }
    return tokens;
  }

  /**
   * Returns the prefixes that end at a message boundary, shortest first. The id is the first 16 hex
   * digits of the SHA-256 over role, tab, content and line feed of each message.
   */
  public List<Prefix> prefixes() {
    List<Prefix> prefixes = new ArrayList<>(messages.size());
    StringBuilder canonical = new StringBuilder();
    int tokens = 0;
    for (Message message : messages) {
      append(canonical, message);
      tokens += tokensOf(message);
      String hash = Hashing.sha256().hashString(canonical, StandardCharsets.UTF_8).toString();
      prefixes.add(new Prefix(hash.substring(0, PREFIX_ID_HEX_DIGITS), tokens));
    }
    return prefixes;
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

  private static int tokensOf(Message message) {
    return (Utf8.encodedLength(message.content()) + BYTES_PER_TOKEN - 1) / BYTES_PER_TOKEN;
  }

  private static void append(StringBuilder canonical, Message message) {
    canonical.append(message.role()).append('\t');
    canonical.append(message.content()).append('\n');
  }
}
