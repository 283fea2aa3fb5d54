package org.goldcrestfall.daemon.upstream;

import com.fasterxml.jackson.core.JsonFactory;
import com.fasterxml.jackson.core.JsonParser;
import com.fasterxml.jackson.core.JsonToken;
import java.io.IOException;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import org.apache.pekko.util.ByteString;

/**
 * Decodes the server-sent events of the chat-completions API. The input may be split into chunks at
 * any byte. Not thread-safe.
 */
public final class SseDecoder {

  /** Maximum length of a line in bytes, which bounds the memory of a stream. */
  static final int MAX_LINE_BYTES = 1 << 20;

  private static final JsonFactory FACTORY = new JsonFactory();
  private static final byte[] DATA_FIELD = {'d', 'a', 't', 'a', ':'};
  private static final byte[] DONE_VALUE = {'[', 'D', 'O', 'N', 'E', ']'};

  private byte[] buffer = new byte[0];
  private int length;
  private boolean done;

  /** Returns whether the {@code [DONE]} event was read. */
  public boolean isDone() {
    return done;
  }

  /**
   * Returns the events that {@code chunk} completes.
   *
   * @throws IOException if a line is too long or an event is not a JSON object
   */
  public List<TokenEvent> decode(ByteString chunk) throws IOException {
    int searched = length;
    append(chunk);
    List<TokenEvent> out = new ArrayList<>(2);
    int start = 0;
    for (int i = searched; i < length; i++) {
      if (buffer[i] == '\n') {
        decodeLine(buffer, start, i, out);
        start = i + 1;
      }
    }
    length -= start;
    if (start > 0) {
      System.arraycopy(buffer, start, buffer, 0, length);
    }
    if (length > MAX_LINE_BYTES) {
      throw new IOException("engine sent a line of more than " + MAX_LINE_BYTES + " bytes");
    }
    return out;
  }

  /**
   * Adds to the incomplete line; the buffer doubles, so that a line is not copied with each part.
   */
  private void append(ByteString chunk) {
    int needed = length + chunk.size();
    if (needed > buffer.length) {
      buffer = Arrays.copyOf(buffer, Math.max(needed, 2 * length));
    }
    chunk.copyToArray(buffer, length);
    length = needed;
  }

  private void decodeLine(byte[] b, int from, int to, List<TokenEvent> out) throws IOException {
    int end = to > from && b[to - 1] == '\r' ? to - 1 : to;
    if (end - from < DATA_FIELD.length
        || !Arrays.equals(b, from, from + DATA_FIELD.length, DATA_FIELD, 0, DATA_FIELD.length)) {
      return;
    }
    int i = from + DATA_FIELD.length;
    while (i < end && b[i] == ' ') {
      i++;
    }
    if (end - i == DONE_VALUE.length
        && Arrays.equals(b, i, end, DONE_VALUE, 0, DONE_VALUE.length)) {
      done = true;
      return;
    }
    try (JsonParser p = FACTORY.createParser(b, i, end - i)) {
      out.add(new EventReader(p).read());
    }
  }

  /** Reads one event and skips the fields that are not needed. */
  private static final class EventReader {

    private final JsonParser parser;
    private String requestId;
    private long offset = -1;
    private String text;
    private String finishReason;
    private long promptTokens = -1;
    private long outputTokens = -1;

    EventReader(JsonParser parser) {
      this.parser = parser;
    }

    TokenEvent read() throws IOException {
      if (parser.nextToken() != JsonToken.START_OBJECT) {
        throw new IOException("engine sent an event that is not a JSON object");
      }
      readObject();
      return new TokenEvent(
          requestId, text == null ? -1 : offset, text, finishReason, promptTokens, outputTokens);
    }

    private void readObject() throws IOException {
      while (parser.nextToken() == JsonToken.FIELD_NAME) {
        String name = parser.currentName();
        JsonToken t = parser.nextToken();
        switch (name) {
          case "request_id" -> requestId = t == JsonToken.VALUE_STRING ? parser.getText() : null;
          case "offset" -> offset = t.isNumeric() ? parser.getLongValue() : -1;
          case "content" -> text = t == JsonToken.VALUE_STRING ? parser.getText() : null;
          case "finish_reason" ->
              finishReason = t == JsonToken.VALUE_STRING ? parser.getText() : null;
          case "prompt_tokens" -> promptTokens = t.isNumeric() ? parser.getLongValue() : -1;
          case "completion_tokens" -> outputTokens = t.isNumeric() ? parser.getLongValue() : -1;
          case "delta", "message", "usage" -> readNestedObject(t);
          case "choices" -> readChoices(t);
          default -> parser.skipChildren();
        }
      }
    }

    private void readNestedObject(JsonToken t) throws IOException {
      if (t == JsonToken.START_OBJECT) {
        readObject();
      }
    }

    private void readChoices(JsonToken t) throws IOException {
      if (t != JsonToken.START_ARRAY) {
        return;
      }
      while (parser.nextToken() != JsonToken.END_ARRAY) {
        readNestedObject(parser.currentToken());
      }
    }
  }
}
