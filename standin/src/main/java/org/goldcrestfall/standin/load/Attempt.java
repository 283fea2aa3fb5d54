package org.goldcrestfall.standin.load;

import com.fasterxml.jackson.databind.JsonNode;
import org.goldcrestfall.standin.client.ChatReply;

/**
 * The result of one attempt. {@code kind} is empty for a whole answer, an error kind, or {@code
 * connection_lost}; {@code problem} is not empty where the answer is wrong.
 */
record Attempt(String kind, boolean retry, boolean notRun, String problem, long firstTokenAtNanos) {

  private static final String LOST = "connection_lost";

  static Attempt of(ChatReply reply) {
    String problem = reply.check().problem();
    if (reply.check().isWhole()) {
      return new Attempt("", false, false, problem, reply.firstTokenAtNanos());
    }
    return ofError(reply.error(), problem);
  }

  static Attempt whole(String problem) {
    return new Attempt("", false, false, problem, System.nanoTime());
  }

  static Attempt lost() {
    return new Attempt(LOST, true, false, "", 0);
  }

  /** Reads an error object; null stands for a lost connection. */
  static Attempt ofError(JsonNode error, String problem) {
    if (error == null) {
      return new Attempt(LOST, true, false, problem, 0);
    }
    return new Attempt(
        error.path("kind").asText("unknown"),
        error.path("retry").asBoolean(false),
        error.path("run").asText().equalsIgnoreCase("not_run"),
        problem,
        0);
  }

  boolean isWhole() {
    return kind.isEmpty() && problem.isEmpty();
  }

  boolean isWrong() {
    return !problem.isEmpty();
  }
}
