package org.goldcrestfall.daemon.upstream;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.nio.charset.StandardCharsets;
import org.goldcrestfall.core.common.ErrorKind;
import org.goldcrestfall.core.common.RequestFailure;
import org.goldcrestfall.daemon.http.Json;

/**
 * A parsed chat completion request. {@code promptBound} is an upper bound of the prompt tokens: a
 * token holds at least one byte, so the UTF-8 bytes of the messages and a fixed part for each
 * message suffice.
 */
public record ChatCall(
    ObjectNode body, String model, long maxTokens, boolean stream, long promptBound) {

  /** Tokens that chat templates add around one message. */
  static final int TEMPLATE_TOKENS_PER_MESSAGE = 16;

  private static final int MAX_MODEL_CHARS = 200;

  /** Parses and validates a request body. */
  public static ChatCall parse(byte[] bytes, int defaultOutputTokens, int maxOutputTokens) {
    ObjectNode n = (ObjectNode) Json.parse(bytes);
    JsonNode model = n.path("model");
    if (!model.isTextual() || model.textValue().isEmpty()) {
      throw invalid("model must be a non-empty string.");
    }
    if (model.textValue().length() > MAX_MODEL_CHARS) {
      throw invalid("model must have at most " + MAX_MODEL_CHARS + " characters.");
    }
    JsonNode stream = n.path("stream");
    if (!stream.isMissingNode() && !stream.isBoolean()) {
      throw invalid("stream must be true or false.");
    }
    JsonNode choices = n.path("n");
    if (!choices.isMissingNode() && (!choices.isInt() || choices.intValue() != 1)) {
      throw invalid("n must be 1.");
    }
    return new ChatCall(
        n,
        model.textValue(),
        maxTokens(n, defaultOutputTokens, maxOutputTokens),
        stream.asBoolean(false),
        promptBound(n.path("messages")));
  }

  private static long maxTokens(ObjectNode n, int absent, int max) {
    JsonNode v = n.has("max_completion_tokens") ? n.get("max_completion_tokens") : null;
    v = v == null ? n.path("max_tokens") : v;
    if (v.isMissingNode() || v.isNull()) {
      return absent;
    }
    if (!v.isIntegralNumber() || !v.canConvertToInt() || v.intValue() < 1 || v.intValue() > max) {
      throw invalid("max_tokens must be a whole number from 1 to " + max + ".");
    }
    return v.intValue();
  }

  private static long promptBound(JsonNode messages) {
    if (!(messages instanceof ArrayNode) || messages.isEmpty()) {
      throw invalid("messages must be a non-empty list.");
    }
    long bound = 0;
    for (JsonNode m : messages) {
      if (!m.path("role").isTextual() || !m.has("content")) {
        throw invalid("each message must have a role and content.");
      }
      bound += TEMPLATE_TOKENS_PER_MESSAGE;
      bound += m.toString().getBytes(StandardCharsets.UTF_8).length;
    }
    return bound;
  }

  private static RequestFailure invalid(String message) {
    return new RequestFailure(ErrorKind.INVALID_PARAMETER, message);
  }

  /** Returns the texts of the messages, role and content alternating, for prefix matching. */
  public String promptText() {
    StringBuilder b = new StringBuilder();
    for (JsonNode m : body.path("messages")) {
      b.append(m.path("role").asText()).append('\n').append(m.path("content")).append('\n');
    }
    return b.toString();
  }

  /** Returns the body to send to an engine, streamed, with the project's additional fields. */
  public byte[] engineBody(String attemptId, int priority, long resumeFrom) {
    ObjectNode n = body.deepCopy();
    n.remove("max_completion_tokens");
    n.put("max_tokens", maxTokens);
    n.put("stream", true);
    n.put("request_id", attemptId);
    n.put("priority", priority);
    n.put("resume_from", resumeFrom);
    return Json.bytes(n);
  }
}
