package org.goldcrestfall.standin.client;

import com.fasterxml.jackson.databind.JsonNode;

/**
 * What came back for a chat completion: status 0 where the connection failed, the check of the
 * answer, the error object of a refusal (or null), the {@code System.nanoTime()} of the first token
 * (or 0), and the exception that ended the call (or an empty text).
 */
public record ChatReply(
    int status,
    AnswerCheck check,
    JsonNode error,
    String requestId,
    long firstTokenAtNanos,
    String failure) {

  /** Returns the error kind, {@code connection_lost}, or an empty text for a whole answer. */
  public String kind() {
    if (check.isWhole()) {
      return "";
    }
    return error == null ? "connection_lost" : error.path("kind").asText("unknown");
  }
}
