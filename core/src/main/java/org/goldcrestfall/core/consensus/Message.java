package org.goldcrestfall.core.consensus;

import java.util.List;

/** A message between two members. */
public sealed interface Message {

  /** Returns the member id of the sender. */
  String from();

  /** Returns the member id of the receiver; a host ignores messages to its former member ids. */
  String to();

  /** Returns the term of the sender or, for a pre-vote, the term of the election. */
  long term();

  /** Requests a vote or, with {@code preVote}, asks whether the receiver would grant one. */
  record VoteRequest(
      String from, String to, long term, long lastIndex, long lastTerm, boolean preVote)
      implements Message {}

  /** Replies to a {@link VoteRequest}; a granted pre-vote has the term of the request. */
  record VoteReply(String from, String to, long term, boolean granted, boolean preVote)
      implements Message {}

  /** Sends entries, or none as a heartbeat; {@code round} is the number of the heartbeat round. */
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
   * Replies to an {@link AppendRequest}. On success {@code matchIndex} is the last index up to
   * which the log is on disk and equals the leader's; otherwise it is the index to send from next.
   *
   * @param protocol the newest {@link ProtocolVersion} that the sender supports
   */
  record AppendReply(
      String from, String to, long term, boolean success, long matchIndex, long round, int protocol)
      implements Message {}

  /** Sends a chunk of a snapshot. */
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

  /** Replies to a {@link SnapshotChunk} with the offset that is expected next. */
  record SnapshotReply(
      String from, String to, long term, long lastIndex, long nextOffset, boolean done)
      implements Message {}
}
