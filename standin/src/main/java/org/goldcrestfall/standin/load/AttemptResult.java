package org.goldcrestfall.standin.load;

import com.fasterxml.jackson.databind.JsonNode;
import com.google.common.base.Throwables;
import org.goldcrestfall.standin.client.ChatReply;

/**
 * The result of one attempt. {@code kind} is empty for a whole answer, an error kind, or {@code
 * connection_lost}; {@code problem} is not empty where the answer is wrong; {@code detail} is the
 * message of an error or exception.
 */
record AttemptResult(
    String errorKind,
    boolean retryable,
    boolean notRun,
    String problem,
    long firstTokenAtNanos,
    String detail) {

  private static final String CONNECTION_LOST = "connection_lost";

  static AttemptResult of(ChatReply reply) {
    String problem = reply.check().problem();
    if (reply.check().isWhole()) {
      return new AttemptResult("", false, false, problem, reply.firstTokenAtNanos(), "");
    }
    return reply.error() == null
        ? new AttemptResult(CONNECTION_LOST, true, false, problem, 0, reply.failure())
        : ofError(reply.error(), problem);
  }

  static AttemptResult answered(String problem) {
    return new AttemptResult("", false, false, problem, System.nanoTime(), "");
  }

  static AttemptResult connectionLost(Throwable failure) {
    return new AttemptResult(
        CONNECTION_LOST, true, false, "", 0, Throwables.getRootCause(failure).toString());
  }

  static AttemptResult ofError(JsonNode error, String problem) {
    return new AttemptResult(
        error.path("kind").asText("unknown"),
        error.path("retry").asBoolean(false),
        error.path("run").asText().equalsIgnoreCase("not_run"),
        problem,
        0,
        error.path("message").asText());
  }

  boolean isComplete() {
    return errorKind.isEmpty() && problem.isEmpty();
  }

  boolean isWrong() {
    return !problem.isEmpty();
  }
}
