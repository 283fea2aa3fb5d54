package org.goldcrestfall.core.stream;

import static com.google.common.base.Preconditions.checkArgument;

/** An event of an engine's stream, with the attempt and the request to which it belongs. */
public sealed interface StreamEvent {

  /** Returns the number of the attempt, see {@link StreamAssembler#startAttempt}. */
  int attempt();

  /** Returns the request id that the event carries. */
  String requestId();

  /**
   * A token.
   *
   * @param offset 0-based index of the token in the complete answer
   */
  record Token(int attempt, String requestId, long offset, String text) implements StreamEvent {

    /** Checks the arguments. */
    public Token {
      checkArgument(offset >= 0, "offset must not be negative: %s", offset);
    }
  }

  /**
   * The regular end of the answer.
   *
   * @param tokens length of the complete answer, including the tokens before {@code resume_from}
   */
  record End(int attempt, String requestId, long tokens) implements StreamEvent {}

  /**
   * The end of an attempt before the end of the answer, by an error, a timeout or a closed
   * connection.
   */
  record Broken(int attempt, String requestId) implements StreamEvent {}
}
