package org.goldcrestfall.standin.client;

import com.fasterxml.jackson.databind.JsonNode;

/**
 * The outcome of a chat completion.
 *
 * @param status the HTTP status, or 0 if no response arrived
 * @param check the verification of the answer
 * @param error the error object of the response body or of the stream, or null
 * @param requestId the request id in the response headers, or an empty string
 * @param firstTokenAtNanos {@code System.nanoTime()} at the arrival of the first token, or 0
 * @param failure the exception that ended the call, or an empty string
 */
public record ChatReply(
    int status,
    AnswerCheck check,
    JsonNode error,
    String requestId,
    long firstTokenAtNanos,
    String failure) {

  /**
   * Returns an empty string if the answer is complete, otherwise the kind in the error object, or
   * {@code connection_lost} if there is none.
   */
  public String errorKind() {
    if (check.isComplete()) {
      return "";
    }
    return error == null ? "connection_lost" : error.path("kind").asText("unknown");
  }
}
