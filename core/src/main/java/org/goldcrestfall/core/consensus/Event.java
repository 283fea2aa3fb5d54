package org.goldcrestfall.core.consensus;

/** An input to {@link Consensus}. */
public sealed interface Event {

  /** Time has passed. The caller should send this several times in each heartbeat interval. */
  record Tick() implements Event {}

  /** A message has arrived. */
  record Received(Message message) implements Event {}

  /**
   * A client proposes a command; effects refer to the proposal by {@code id}, which must not be 0.
   */
  record Propose(long id, byte[] command) implements Event {}

  /** A client asks for a linearizable read; effects refer to the read by {@code id}. */
  record Read(long id) implements Event {}

  /** A host asks to join the group; ignored unless this member leads. */
  record Join(Member member) implements Event {}

  /**
   * A member of an open group is about to stop and gives up its vote if the group can spare it;
   * ignored unless this member leads. {@link Consensus#departure} tells what has become of it.
   */
  record Leave(String memberId) implements Event {}

  /**
   * A member has lost its disk: its host was asked after this member knew its id, and answered
   * under another one. A member that has lost its disk never takes part under its old id again.
   */
  record DiskLost(String memberId) implements Event {}

  /** All {@link Effect.Persist} effects up to a sequence number are synced to disk. */
  record Persisted(long sequence) implements Event {}

  /** Writes to disk have started to fail, or succeed again. */
  record DiskChanged(boolean writable) implements Event {}

  /** A snapshot of the state at an applied index is on disk; the log before it may be discarded. */
  record SnapshotTaken(Snapshot snapshot) implements Event {}
}
