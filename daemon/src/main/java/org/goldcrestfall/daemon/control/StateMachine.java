package org.goldcrestfall.daemon.control;

/**
 * The replicated state machine. It must be deterministic: the same commands in the same order lead
 * to the same state and the same replies on every member. All methods are called on one thread and
 * must not throw; an invalid command results in an error reply.
 */
public interface StateMachine {

  /**
   * Adds to a command what only the member that proposes it knows, such as the time. Called before
   * the command enters the log, so that all members apply the same bytes.
   *
   * @param protocol the version of the consensus protocol that the group runs; all members support
   *     what it stands for
   */
  default byte[] stampProposal(byte[] command, int protocol) {
    return command;
  }

  /** Applies the command at the given log index and returns its reply. */
  byte[] apply(long index, byte[] command);

  /** Returns the result of a query without changing the state. */
  byte[] query(byte[] query);

  /** Serializes the whole state. */
  byte[] snapshot();

  /** Replaces the whole state with one that {@link #snapshot} returned. */
  void restore(byte[] snapshot);
}
