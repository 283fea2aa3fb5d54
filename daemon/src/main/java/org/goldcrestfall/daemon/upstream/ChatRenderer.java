package org.goldcrestfall.daemon.upstream;

import com.fasterxml.jackson.core.io.JsonStringEncoder;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.ByteArrayOutputStream;
import java.nio.charset.StandardCharsets;
import org.apache.pekko.util.ByteString;
import org.goldcrestfall.daemon.http.Json;

/**
 * Writes answers in the chat-completions form. The constant part of the stream events is built
 * once, because a stream writes it for every token.
 */
public final class ChatRenderer {

  private static final byte[] AFTER_TEXT =
      "\"},\"finish_reason\":null}]}\n\n".getBytes(StandardCharsets.UTF_8);
  private static final JsonStringEncoder ENCODER = JsonStringEncoder.getInstance();

  private final String requestId;
  private final String model;
  private final byte[] beforeText;

  /** Creates a renderer for one request. */
  public ChatRenderer(String requestId, String model) {
    this.requestId = requestId;
    this.model = model;
    beforeText =
        ("data: {\"id\":"
                + quote(requestId)
                + ",\"object\":\"chat.completion.chunk\",\"model\":"
                + quote(model)
                + ",\"choices\":[{\"index\":0,\"delta\":{\"content\":\"")
            .getBytes(StandardCharsets.UTF_8);
  }

  /** Returns the stream events of tokens. */
  public ByteString tokens(Iterable<String> texts) {
    ByteArrayOutputStream out = new ByteArrayOutputStream(256);
    for (String t : texts) {
      out.writeBytes(beforeText);
      out.writeBytes(ENCODER.quoteAsUTF8(t));
      out.writeBytes(AFTER_TEXT);
    }
    return ByteString.fromArrayUnsafe(out.toByteArray());
  }

  /** Returns the last events of a stream: finish reason with usage, then the end mark. */
  public ByteString end(String finishReason, long promptTokens, long outputTokens) {
    ObjectNode n = chunk();
    ObjectNode choice = n.putArray("choices").addObject();
    choice.put("index", 0);
    choice.putObject("delta");
    choice.put("finish_reason", finishReason);
    usage(n, promptTokens, outputTokens);
    return event(n).concat(ByteString.fromString("data: [DONE]\n\n"));
  }

  /** Returns the event of a stream that cannot go on; no end mark follows it. */
  public static ByteString failure(Object errorBody) {
    return event(errorBody);
  }

  /** Returns the whole answer as one JSON value. */
  public ObjectNode whole(String text, String finishReason, long promptTokens, long outputTokens) {
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
