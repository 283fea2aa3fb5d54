package org.goldcrestfall.core.stream;

import static com.google.common.base.Preconditions.checkArgument;

/** An event of an engine's stream, tagged with the attempt and the request it belongs to. */
public sealed interface StreamEvent {

  /** Returns the number of the attempt, see {@link StreamAssembler#startAttempt}. */
  int attempt();

  /** Returns the request id that the event carries. */
  String requestId();

  /**
   * A token.
   *
   * @param offset 0-based index of the token in the whole answer
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
   * @param tokens length of the whole answer, the tokens before {@code resume_from} included
   */
  record End(int attempt, String requestId, long tokens) implements StreamEvent {}

  /** The end of the attempt without the end of the answer: error, timeout or closed connection. */
  record Broken(int attempt, String requestId) implements StreamEvent {}
}
