package org.goldcrestfall.standin.upstream;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.IOException;
import java.io.UncheckedIOException;

/** Reads and writes the JSON of the stand-ins and their tools. */
public final class Json {

  private static final ObjectMapper MAPPER = new ObjectMapper();

  private Json() {}

  /** Returns {@code value} as JSON. */
  public static String write(Object value) {
    try {
      return MAPPER.writeValueAsString(value);
    } catch (JsonProcessingException e) {
      throw new UncheckedIOException(e);
    }
  }

  /**
   * Parses a JSON text.
   *
   * @throws IllegalArgumentException if it is malformed
   */
  public static JsonNode parse(byte[] text) {
    try {
      return MAPPER.readTree(text);
    } catch (IOException e) {
      throw new IllegalArgumentException("malformed JSON", e);
    }
  }

  /**
   * Parses a JSON text.
   *
   * @throws IllegalArgumentException if it is malformed
   */
  public static JsonNode parse(String text) {
    try {
      return MAPPER.readTree(text);
    } catch (JsonProcessingException e) {
      throw new IllegalArgumentException("malformed JSON", e);
    }
  }
}
