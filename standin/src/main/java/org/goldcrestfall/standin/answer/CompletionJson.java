package org.goldcrestfall.standin.answer;

import com.fasterxml.jackson.core.io.JsonStringEncoder;

/**
 * Writes completions in the format of the chat-completions API. Token events are concatenated from
 * constant parts, because a JSON generator for each token would dominate the cost of an engine
 * without a token interval.
 */
public final class CompletionJson {

  /** The server-sent event that ends a stream. */
  public static final String END_OF_STREAM = "data: [DONE]\n\n";

  private final String tokenEventStart;
  private final String quotedRequestId;
  private final String quotedModel;

  /** Creates a writer for the completion of one request. */
  public CompletionJson(String requestId, String model) {
    this.quotedRequestId = quote(requestId);
    this.quotedModel = quote(model);
    this.tokenEventStart =
        "data: {\"id\":"
            + quotedRequestId
            + ",\"request_id\":"
            + quotedRequestId
            + ",\"object\":\"chat.completion.chunk\",\"model\":"
            + this.quotedModel
            + ",\"offset\":";
  }

  /** Appends the event of token {@code offset}; {@code text} must not need escaping in JSON. */
  public void appendToken(StringBuilder out, int offset, String text) {
    out.append(tokenEventStart).append(offset);
    out.append(",\"choices\":[{\"index\":0,\"delta\":{\"content\":\"").append(text);
    out.append("\"},\"finish_reason\":null}]}\n\n");
  }

  /** Appends the event with the finish reason and the usage, and the end of the stream. */
  public void appendEnd(StringBuilder out, String finishReason, int promptTokens, int tokens) {
    out.append("data: {\"id\":")
        .append(quotedRequestId)
        .append(",\"request_id\":")
        .append(quotedRequestId);
    out.append(",\"object\":\"chat.completion.chunk\",\"model\":").append(quotedModel);
    out.append(",\"choices\":[{\"index\":0,\"delta\":{},\"finish_reason\":\"");
    out.append(finishReason).append("\"}],\"usage\":");
    appendUsage(out, promptTokens, tokens);
    out.append("}\n\n").append(END_OF_STREAM);
  }

  /** Returns the body of a non-streaming response. */
  public String completion(String text, String finishReason, int promptTokens, int tokens) {
    StringBuilder out = new StringBuilder(text.length() + 256);
    out.append("{\"id\":").append(quotedRequestId);
    out.append(",\"object\":\"chat.completion\",\"model\":").append(quotedModel);
    out.append(",\"choices\":[{\"index\":0,\"message\":{\"role\":\"assistant\",\"content\":");
    out.append(quote(text)).append("},\"finish_reason\":\"").append(finishReason);
    out.append("\"}],\"usage\":");
    appendUsage(out, promptTokens, tokens);
    return out.append("}").toString();
  }

  private static void appendUsage(StringBuilder out, int promptTokens, int tokens) {
    out.append("{\"prompt_tokens\":").append(promptTokens);
    out.append(",\"completion_tokens\":").append(tokens);
    out.append(",\"total_tokens\":").append(promptTokens + tokens).append('}');
  }

  private static String quote(String text) {
    return '"' + String.valueOf(JsonStringEncoder.getInstance().quoteAsString(text)) + '"';
  }
}
