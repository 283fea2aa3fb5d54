package org.goldcrestfall.daemon.upstream;

import com.fasterxml.jackson.core.io.JsonStringEncoder;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.ByteArrayOutputStream;
import java.nio.charset.StandardCharsets;
import org.apache.pekko.util.ByteString;
import org.goldcrestfall.daemon.http.Json;

/**
 * Renders responses in the format of the chat-completions API. The constant parts of a stream event
 * are built once, because they are written for each token.
 */
public final class ChatRenderer {

  private static final byte[] CHUNK_SUFFIX =
      "\"},\"finish_reason\":null}]}\n\n".getBytes(StandardCharsets.UTF_8);
  private static final JsonStringEncoder ENCODER = JsonStringEncoder.getInstance();

  private final String requestId;
  private final String model;
  private final byte[] chunkPrefix;

  /** Creates a renderer for one request. */
  public ChatRenderer(String requestId, String model) {
    this.requestId = requestId;
    this.model = model;
    chunkPrefix =
        ("data: {\"id\":"
                + quote(requestId)
                + ",\"object\":\"chat.completion.chunk\",\"model\":"
                + quote(model)
                + ",\"choices\":[{\"index\":0,\"delta\":{\"content\":\"")
            .getBytes(StandardCharsets.UTF_8);
  }

  /** Returns one stream event for each token. */
  public ByteString tokenEvents(Iterable<String> texts) {
    ByteArrayOutputStream out = new ByteArrayOutputStream(256);
    for (String t : texts) {
      out.writeBytes(chunkPrefix);
      out.writeBytes(ENCODER.quoteAsUTF8(t));
      out.writeBytes(CHUNK_SUFFIX);
    }
    return ByteString.fromArrayUnsafe(out.toByteArray());
  }

  /**
   * Returns the last events of a stream: finish reason with usage, then the {@code [DONE]} event.
   */
  public ByteString endEvents(String finishReason, long promptTokens, long outputTokens) {
    ObjectNode n = chunk();
    ObjectNode choice = n.putArray("choices").addObject();
    choice.put("index", 0);
    choice.putObject("delta");
    choice.put("finish_reason", finishReason);
    usage(n, promptTokens, outputTokens);
    return event(n).concat(ByteString.fromString("data: [DONE]\n\n"));
  }

  /** Returns the last event of a failed stream; no {@code [DONE]} event follows it. */
  public static ByteString failureEvent(Object errorBody) {
    return event(errorBody);
  }

  /** Returns the complete answer as one JSON object. */
  public ObjectNode completion(
      String text, String finishReason, long promptTokens, long outputTokens) {
    ObjectNode n = Json.mapper().createObjectNode();
    n.put("id", requestId);
    n.put("object", "chat.completion");
    n.put("model", model);
    ObjectNode choice = n.putArray("choices").addObject();
    choice.put("index", 0);
    ObjectNode message = choice.putObject("message");
    message.put("role", "assistant");
    message.put("content", text);
    choice.put("finish_reason", finishReason);
    usage(n, promptTokens, outputTokens);
    return n;
  }

  private ObjectNode chunk() {
    ObjectNode n = Json.mapper().createObjectNode();
    n.put("id", requestId);
    n.put("object", "chat.completion.chunk");
    n.put("model", model);
    return n;
  }

  private static void usage(ObjectNode n, long promptTokens, long outputTokens) {
    ObjectNode u = n.putObject("usage");
    u.put("prompt_tokens", promptTokens);
    u.put("completion_tokens", outputTokens);
    u.put("total_tokens", promptTokens + outputTokens);
  }

  private static ByteString event(Object value) {
    return ByteString.fromString("data: ")
        .concat(ByteString.fromArrayUnsafe(Json.bytes(value)))
        .concat(ByteString.fromString("\n\n"));
  }

  private static String quote(String text) {
    return '"' + new String(ENCODER.quoteAsString(text)) + '"';
  }
}
