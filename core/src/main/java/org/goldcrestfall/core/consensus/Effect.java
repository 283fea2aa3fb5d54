package org.goldcrestfall.core.consensus;

import java.util.List;

/** What a member wants to be done, in order. */
public sealed interface Effect {

  /** Sends a message; it may be lost. */
  record Send(Message message) implements Effect {}

  /**
   * Writes to disk, in the order of the sequence numbers, and reports {@link Event.Persisted} after
   * the sync. A null {@code hardState} or {@code snapshot} is unchanged; a snapshot replaces the
   * whole log; otherwise the log is cut before {@code firstIndex} and the entries are appended. A
   * {@code firstIndex} of 0 leaves the log unchanged.
   */
  record Persist(
      long sequence, HardState hardState, Snapshot snapshot, long firstIndex, List<Entry> entries)
      implements Effect {}

  /**
   * Applies a committed entry to the state machine. {@code proposal} is the id of the proposal that
   * waits for the reply here, or 0.
   */
  record Apply(Entry entry, long proposal) implements Effect {}

  /** Replaces the state machine's state. */
  record Restore(Snapshot snapshot) implements Effect {}

  /**
   * The reply to a proposal, which {@link Apply} gives next, waits for {@link Release}, because too
   * few members have its entry on disk.
   */
  record Hold(long proposal) implements Effect {}

  /** The reply to a held proposal may be given. */
  record Release(long proposal) implements Effect {}

  /**
   * A proposal has no reply here. If {@code unknown} is false, it was not and will not be committed
   * from here.
   */
  record ProposalFailed(long id, boolean unknown) implements Effect {}

  /** A read may be served from the state as of now: everything committed before it is applied. */
  record ReadReady(long id) implements Effect {}

  /** A read cannot be served here. */
  record ReadFailed(long id) implements Effect {}
}
