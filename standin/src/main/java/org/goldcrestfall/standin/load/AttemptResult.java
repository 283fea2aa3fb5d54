package org.goldcrestfall.standin.load;

import com.fasterxml.jackson.databind.JsonNode;
import com.google.common.base.Throwables;
import org.goldcrestfall.standin.client.ChatReply;

/**
 * The result of one attempt of a request.
 *
 * @param errorKind the error kind of a refusal, {@code connection_lost}, or empty if the request
 *     was answered
 * @param retryable whether the same request may be sent again
 * @param notRun whether the error states that the request was not run
 * @param problem what is wrong with the answer, or empty if nothing is
 * @param firstTokenAtNanos {@link System#nanoTime()} at the arrival of the first token or, for a
 *     service call, of the answer; 0 if there is none
 * @param detail message of the error or exception, or empty
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
    if (reply.check().isComplete()) {
      return new AttemptResult("", false, false, problem, reply.firstTokenAtNanos(), "");
    }
    return reply.error() == null
        ? new AttemptResult(CONNECTION_LOST, true, false, problem, 0, reply.failure())
        : ofError(reply.error(), problem);
  }

  /** Returns the result of a service call that was answered; {@code problem} may be empty. */
  static AttemptResult answered(String problem) {
    return new AttemptResult("", false, false, problem, System.nanoTime(), "");
  }

  static AttemptResult connectionLost(Throwable failure) {
    return new AttemptResult(
        CONNECTION_LOST, true, false, "", 0, Throwables.getRootCause(failure).toString());
  }

  /** Returns the result of an attempt that ended with the error object of a response. */
  static AttemptResult ofError(JsonNode error, String problem) {
    return new AttemptResult(
        error.path("kind").asText("unknown"),
        error.path("retry").asBoolean(false),
        error.path("run").asText().equalsIgnoreCase("not_run"),
        problem,
        0,
        error.path("message").asText());
  }

  /** Returns whether the answer arrived completely and is right. */
  boolean isComplete() {
    return errorKind.isEmpty() && problem.isEmpty();
  }

  boolean isWrong() {
    return !problem.isEmpty();
  }
}
