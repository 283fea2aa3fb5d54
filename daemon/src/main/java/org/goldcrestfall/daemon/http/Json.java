package org.goldcrestfall.daemon.http;

import com.fasterxml.jackson.core.JsonFactory;
import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.core.StreamReadConstraints;
import com.fasterxml.jackson.databind.DeserializationFeature;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.PropertyNamingStrategies;
import com.fasterxml.jackson.databind.json.JsonMapper;
import java.io.IOException;
import org.goldcrestfall.core.common.ErrorKind;
import org.goldcrestfall.core.common.RequestFailure;

/**
 * Reads and writes the JSON of the HTTP APIs. Names are in snake case, unknown fields are rejected
 * and the nesting depth is limited.
 */
public final class Json {

  private static final int MAX_NESTING_DEPTH = 64;

  private static final JsonMapper MAPPER =
      JsonMapper.builder(
              JsonFactory.builder()
                  .streamReadConstraints(
                      StreamReadConstraints.builder().maxNestingDepth(MAX_NESTING_DEPTH).build())
                  .build())
          .propertyNamingStrategy(PropertyNamingStrategies.SNAKE_CASE)
          .enable(DeserializationFeature.FAIL_ON_TRAILING_TOKENS)
          .build();

  private Json() {}

  /** Returns the JSON mapper of the HTTP APIs. */
  public static JsonMapper mapper() {
    return MAPPER;
  }

  /**
   * Parses a JSON object.
   *
   * @throws RequestFailure with {@link ErrorKind#MALFORMED_REQUEST} if the text is not a JSON
   *     object
   */
  public static JsonNode parse(byte[] text) {
    try {
      JsonNode n = MAPPER.readTree(text);
      if (n != null && n.isObject()) {
        return n;
      }
    } catch (IOException e) {
      throw malformed(e);
    }
    throw new RequestFailure(ErrorKind.MALFORMED_REQUEST, "The body must be a JSON object.");
  }

  /**
   * Converts a JSON tree to a record.
   *
   * @throws RequestFailure with {@link ErrorKind#INVALID_PARAMETER} if the tree does not fit the
   *     type
   */
  public static <T> T convert(JsonNode n, Class<T> type) {
    try {
      return MAPPER.treeToValue(n, type);
    } catch (JsonProcessingException | IllegalArgumentException e) {
      String m = e instanceof JsonProcessingException p ? p.getOriginalMessage() : e.getMessage();
      throw new RequestFailure(ErrorKind.INVALID_PARAMETER, firstLine(m));
    }
  }

  /** Serializes a value to UTF-8. */
  public static byte[] bytes(Object value) {
    try {
      return MAPPER.writeValueAsBytes(value);
    } catch (JsonProcessingException e) {
      throw new IllegalArgumentException("cannot serialize to JSON: " + value.getClass(), e);
    }
  }

  private static RequestFailure malformed(IOException e) {
    String m = e instanceof JsonProcessingException p ? p.getOriginalMessage() : e.getMessage();
    return new RequestFailure(
        ErrorKind.MALFORMED_REQUEST, "The body is not valid JSON: " + firstLine(m));
  }

  private static String firstLine(String m) {
    return m == null ? "no detail" : m.lines().findFirst().orElse("no detail");
  }
}
