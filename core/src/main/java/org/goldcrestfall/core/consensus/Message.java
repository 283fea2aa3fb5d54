package org.goldcrestfall.core.consensus;

import java.util.List;

/** A message between two members, by member id. */
public sealed interface Message {

  /** Returns the id of the sender. */
  String from();

  /** Returns the id of the receiver; a host that has a new member number ignores the old one. */
  String to();

  /** Returns the term of the sender, or of the election that a pre-vote is about. */
  long term();

  /** Asks for a vote, or whether a vote would be given ({@code preVote}). */
  record VoteRequest(
      String from, String to, long term, long lastIndex, long lastTerm, boolean preVote)
      implements Message {}

  /** Answers a {@link VoteRequest}; a granted pre-vote carries the term that was asked about. */
  record VoteReply(String from, String to, long term, boolean granted, boolean preVote)
      implements Message {}

  /** Sends entries, or none as a heartbeat; {@code round} numbers the heartbeat rounds. */
  record AppendRequest(
      String from,
      String to,
      long term,
      long previousIndex,
      long previousTerm,
      List<Entry> entries,
      long commitIndex,
      long round)
      implements Message {}

  /**
   * Answers an {@link AppendRequest}. On success {@code matchIndex} is the last index that is on
   * disk and equal to the leader's; otherwise it is the index to send from next.
   */
  record AppendReply(
      String from, String to, long term, boolean success, long matchIndex, long round)
      implements Message {}

  /** Sends a part of a snapshot. */
  record SnapshotChunk(
      String from,
      String to,
      long term,
      long lastIndex,
      long lastTerm,
      long offset,
      byte[] data,
      boolean done,
      Members members)
      implements Message {}

  /** Answers a {@link SnapshotChunk} with the offset that is expected next. */
  record SnapshotReply(
      String from, String to, long term, long lastIndex, long nextOffset, boolean done)
      implements Message {}
}
