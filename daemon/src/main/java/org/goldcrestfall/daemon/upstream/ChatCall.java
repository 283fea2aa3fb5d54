package org.goldcrestfall.daemon.upstream;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.nio.charset.StandardCharsets;
import org.goldcrestfall.core.common.ErrorKind;
import org.goldcrestfall.core.common.RequestFailure;
import org.goldcrestfall.daemon.http.Json;

/**
 * A parsed chat completion request. {@code promptTokenBound} is an upper bound of the number of
 * prompt tokens: a token represents at least one byte, so the bound is the UTF-8 length of the
 * messages plus an allowance for the chat template.
 */
public record ChatCall(
    ObjectNode body, String model, long maxTokens, boolean stream, long promptTokenBound) {

  /** Allowance for the tokens that a chat template adds to each message. */
  static final int TEMPLATE_TOKENS_PER_MESSAGE = 16;

  private static final int MAX_MODEL_CHARS = 200;

  /**
   * Parses and validates a request body.
   *
   * @param defaultOutputTokens output tokens of a request that does not limit them
   * @param maxOutputTokens highest number of output tokens that a request may ask for
   * @throws RequestFailure if the body is not JSON or a parameter is invalid
   */
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
        promptTokenBound(n.path("messages")));
  }

  private static long maxTokens(ObjectNode n, int defaultValue, int max) {
    JsonNode v = n.has("max_completion_tokens") ? n.get("max_completion_tokens") : null;
    v = v == null ? n.path("max_tokens") : v;
    if (v.isMissingNode() || v.isNull()) {
      return defaultValue;
    }
    if (!v.isIntegralNumber() || !v.canConvertToInt() || v.intValue() < 1 || v.intValue() > max) {
      throw invalid("max_tokens must be a whole number from 1 to " + max + ".");
    }
    return v.intValue();
  }

  private static long promptTokenBound(JsonNode messages) {
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

  /** Returns the roles and contents of all messages as one text, for prefix matching. */
  public String promptText() {
    StringBuilder b = new StringBuilder();
    for (JsonNode m : body.path("messages")) {
      b.append(m.path("role").asText()).append('\n').append(m.path("content")).append('\n');
    }
    return b.toString();
  }

  /**
   * Returns the body to send to an engine. It requests a stream and has the additional fields
   * {@code request_id}, {@code priority} and {@code resume_from}.
   */
  public byte[] engineBody(String requestId, int priority, long resumeFrom) {
    ObjectNode n = body.deepCopy();
    n.remove("max_completion_tokens");
    n.put("max_tokens", maxTokens);
    n.put("stream", true);
    n.put("request_id", requestId);
    n.put("priority", priority);
    n.put("resume_from", resumeFrom);
    return Json.bytes(n);
  }
}
