package org.goldcrestfall.daemon.control;

/**
 * The replicated state. It is deterministic: the same commands in the same order give the same
 * state and the same replies on every member. All methods are called on one thread and must not
 * throw; a command that cannot be understood gets a reply that says so.
 */
public interface StateMachine {

  /** Applies the command at a log index and returns the reply. */
  byte[] apply(long index, byte[] command);

  /** Returns the answer to a query; the state does not change. */
  byte[] query(byte[] query);

  /** Returns the whole state. */
  byte[] snapshot();

  /** Replaces the whole state by one that {@link #snapshot} returned. */
  void restore(byte[] snapshot);
}
