package org.goldcrestfall.core.consensus;

import java.util.List;

/** An action that {@link Consensus} asks its caller to carry out; the order of effects matters. */
public sealed interface Effect {

  /** Sends a message, which may be lost. */
  record Send(Message message) implements Effect {}

  /**
   * Writes to disk in the order of the sequence numbers; {@link Event.Persisted} must follow the
   * sync. If {@code hardState} or {@code snapshot} is null, the stored one stays. A snapshot
   * replaces the whole log. Otherwise the log is truncated from {@code firstIndex} on and the
   * entries are appended; a {@code firstIndex} of 0 leaves the log unchanged.
   */
  record Persist(
      long sequence, HardState hardState, Snapshot snapshot, long firstIndex, List<Entry> entries)
      implements Effect {}

  /**
   * Applies a committed entry to the state machine. {@code proposalId} is the id of the proposal on
   * this member that waits for the result, or 0.
   */
  record Apply(Entry entry, long proposalId) implements Effect {}

  /** Replaces the state of the state machine by a snapshot. */
  record Restore(Snapshot snapshot) implements Effect {}

  /**
   * Withholds the reply to a proposal until {@link ReleaseReply}, because too few members have its
   * entry on disk. The {@link Apply} effect of the entry follows.
   */
  record HoldReply(long proposalId) implements Effect {}

  /** Sends the withheld reply to a proposal. */
  record ReleaseReply(long proposalId) implements Effect {}

  /**
   * Fails a proposal. If {@code outcomeUnknown} is false, this member has not put the command into
   * the log and never will; otherwise the command may still be committed.
   */
  record ProposalFailed(long proposalId, boolean outcomeUnknown) implements Effect {}

  /**
   * Serves a read from the current state, which includes every entry that was committed before the
   * read.
   */
  record ReadReady(long id) implements Effect {}

  /** Fails a read, because this member does not lead or no longer leads. */
  record ReadFailed(long id) implements Effect {}
}
