package org.goldcrestfall.standin.answer;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.ArrayList;
import java.util.List;

/**
 * A parsed chat-completions request. Waiting requests with a higher {@code priority} start first.
 * {@code resumeFrom} is the index of the first token to send; the tokens before it were sent by an
 * earlier request.
 */
public record ChatRequest(
    String requestId,
    String model,
    Prompt prompt,
    int maxTokens,
    boolean stream,
    int priority,
    int resumeFrom) {

  /** Limit of output tokens if the request sets none. */
  public static final int DEFAULT_MAX_TOKENS = 256;

  private static final int MAX_TOKENS_LIMIT = 1_000_000;

  /**
   * Parses a request body.
   *
   * @throws IllegalArgumentException if a field is missing or out of range; the message starts with
   *     the name of the field and is sent to the caller
   */
  public static ChatRequest parse(JsonNode json) {
    JsonNode messages = json.path("messages");
    require(messages.isArray() && !messages.isEmpty(), "messages: expected a non-empty array");
    List<Message> parsedMessages = new ArrayList<>();
    for (JsonNode message : messages) {
      require(message.path("role").isTextual(), "messages: expected a role in each message");
      parsedMessages.add(
          new Message(message.get("role").asText(), contentText(message.path("content"))));
    }
    int maxTokens = json.path("max_tokens").asInt(DEFAULT_MAX_TOKENS);
    require(
        maxTokens >= 1 && maxTokens <= MAX_TOKENS_LIMIT,
        "max_tokens: expected 1 to " + MAX_TOKENS_LIMIT);
    int resumeFrom = json.path("resume_from").asInt(0);
    require(resumeFrom >= 0, "resume_from: expected 0 or more");
    return new ChatRequest(
        json.path("request_id").asText("chat"),
        json.path("model").asText(""),
        new Prompt(parsedMessages),
        maxTokens,
        json.path("stream").asBoolean(false),
        json.path("priority").asInt(0),
        resumeFrom);
  }

  private static String contentText(JsonNode content) {
    if (content.isTextual()) {
      return content.asText();
    }
    StringBuilder text = new StringBuilder();
    for (JsonNode part : content) {
      text.append(part.path("text").asText(""));
    }
    return text.toString();
  }

  private static void require(boolean condition, String message) {
    if (!condition) {
      throw new IllegalArgumentException(message);
    }
  }
}
