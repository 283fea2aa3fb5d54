package org.goldcrestfall.core.consensus;

/** What can happen to a member. */
public sealed interface Event {

  /** Time has passed; expected several times in a heartbeat interval. */
  record Tick() implements Event {}

  /** A message has arrived. */
  record Received(Message message) implements Event {}

  /** A client asks for a command to be committed; {@code id} is returned with the outcome. */
  record Propose(long id, byte[] command) implements Event {}

  /** A client asks for a consistent read; {@code id} is returned with the outcome. */
  record Read(long id) implements Event {}

  /** A host asks to be a member; ignored unless this member leads. */
  record Join(Member member) implements Event {}

  /** All {@link Effect.Persist} effects up to a sequence number are on disk and synced. */
  record Persisted(long sequence) implements Event {}

  /** Writing to disk has begun to fail, or works again. */
  record DiskChanged(boolean writable) implements Event {}

  /** A snapshot of the state at an applied index is on disk; the log before it may go. */
  record SnapshotTaken(Snapshot snapshot) implements Event {}
}
