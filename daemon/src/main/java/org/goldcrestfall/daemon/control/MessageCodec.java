package org.goldcrestfall.daemon.control;

import com.google.protobuf.ByteString;
import com.google.protobuf.UnsafeByteOperations;
import java.util.List;
import org.goldcrestfall.core.consensus.Entry;
import org.goldcrestfall.core.consensus.Members;
import org.goldcrestfall.core.consensus.Message;
import org.goldcrestfall.core.consensus.ProtocolVersion;
import org.goldcrestfall.wire.generated.AppendReply;
import org.goldcrestfall.wire.generated.AppendRequest;
import org.goldcrestfall.wire.generated.Body;
import org.goldcrestfall.wire.generated.LogEntry;
import org.goldcrestfall.wire.generated.SnapshotChunk;
import org.goldcrestfall.wire.generated.SnapshotReply;
import org.goldcrestfall.wire.generated.VoteReply;
import org.goldcrestfall.wire.generated.VoteRequest;

/** Converts messages of the consensus core to and from their Protobuf form. */
final class MessageCodec {

  private static final Entry.Type[] TYPES = Entry.Type.values();

  private MessageCodec() {}

  static Body encode(Message message) {
    Body.Builder body = Body.newBuilder();
    if (message instanceof Message.VoteRequest m) {
      body.getVoteRequestBuilder()
          .setTerm(m.term())
          .setCandidate(m.from())
          .setRecipient(m.to())
          .setLastIndex(m.lastIndex())
          .setLastTerm(m.lastTerm())
          .setPreVote(m.preVote());
    } else if (message instanceof Message.VoteReply m) {
      body.getVoteReplyBuilder()
          .setTerm(m.term())
          .setVoter(m.from())
          .setRecipient(m.to())
          .setGranted(m.granted())
          .setPreVote(m.preVote());
    } else if (message instanceof Message.AppendRequest m) {
      body.getAppendRequestBuilder()
          .setTerm(m.term())
          .setLeader(m.from())
          .setRecipient(m.to())
          .setPreviousIndex(m.previousIndex())
          .setPreviousTerm(m.previousTerm())
          .addAllEntries(m.entries().stream().map(MessageCodec::encode).toList())
          .setCommitIndex(m.commitIndex())
          .setRound(m.round());
    } else if (message instanceof Message.AppendReply m) {
      body.getAppendReplyBuilder()
          .setTerm(m.term())
          .setFollower(m.from())
          .setRecipient(m.to())
          .setSuccess(m.success())
          .setMatchIndex(m.matchIndex())
          .setRound(m.round())
          .setProtocol(m.protocol());
    } else if (message instanceof Message.SnapshotChunk m) {
      body.getSnapshotChunkBuilder()
          .setTerm(m.term())
          .setLeader(m.from())
          .setRecipient(m.to())
          .setLastIndex(m.lastIndex())
          .setLastTerm(m.lastTerm())
          .setOffset(m.offset())
          .setData(UnsafeByteOperations.unsafeWrap(m.data()))
          .setDone(m.done())
          .setMembers(ByteString.copyFrom(m.members().toBytes()));
    } else if (message instanceof Message.SnapshotReply m) {
      body.getSnapshotReplyBuilder()
          .setTerm(m.term())
          .setFollower(m.from())
          .setRecipient(m.to())
          .setLastIndex(m.lastIndex())
          .setNextOffset(m.nextOffset())
          .setDone(m.done());
    }
    return body.build();
  }

  private static LogEntry encode(Entry entry) {
    return LogEntry.newBuilder()
        .setTerm(entry.term())
        .setIndex(entry.index())
        .setType(entry.type().ordinal())
        .setPayload(UnsafeByteOperations.unsafeWrap(entry.payload()))
        .build();
  }

  /**
   * Decodes the message in a body.
   *
   * @throws IllegalArgumentException if the body does not contain a valid message of the consensus
   *     core
   */
  static Message decode(Body body) {
    return switch (body.getKindCase()) {
      case VOTE_REQUEST -> decode(body.getVoteRequest());
      case VOTE_REPLY -> decode(body.getVoteReply());
      case APPEND_REQUEST -> decode(body.getAppendRequest());
      case APPEND_REPLY -> decode(body.getAppendReply());
      case SNAPSHOT_CHUNK -> decode(body.getSnapshotChunk());
      case SNAPSHOT_REPLY -> decode(body.getSnapshotReply());
      default ->
          throw new IllegalArgumentException(
              "expected a consensus message, got " + body.getKindCase());
    };
  }

  private static Message decode(VoteRequest m) {
    return new Message.VoteRequest(
        m.getCandidate(),
        m.getRecipient(),
        m.getTerm(),
        m.getLastIndex(),
        m.getLastTerm(),
        m.getPreVote());
  }

  private static Message decode(VoteReply m) {
    return new Message.VoteReply(
        m.getVoter(), m.getRecipient(), m.getTerm(), m.getGranted(), m.getPreVote());
  }

  private static Message decode(AppendRequest m) {
    List<Entry> entries = m.getEntriesList().stream().map(MessageCodec::decode).toList();
    for (int i = 0; i < entries.size(); i++) {
      if (entries.get(i).index() != m.getPreviousIndex() + 1 + i) {
        throw new IllegalArgumentException(
            "entry indexes are not consecutive after the previous index");
      }
    }
    return new Message.AppendRequest(
        m.getLeader(),
        m.getRecipient(),
        m.getTerm(),
        m.getPreviousIndex(),
        m.getPreviousTerm(),
        entries,
        m.getCommitIndex(),
        m.getRound());
  }

  private static Entry decode(LogEntry m) {
    if (m.getType() >= TYPES.length || m.getType() < 0) {
      throw new IllegalArgumentException("unknown log entry type " + m.getType());
    }
    return new Entry(m.getTerm(), m.getIndex(), TYPES[m.getType()], m.getPayload().toByteArray());
  }

  private static Message decode(AppendReply m) {
    return new Message.AppendReply(
        m.getFollower(),
        m.getRecipient(),
        m.getTerm(),
        m.getSuccess(),
        m.getMatchIndex(),
        m.getRound(),
        m.hasProtocol() ? m.getProtocol() : ProtocolVersion.SINGLE_CHANGES);
  }

  private static Message decode(SnapshotChunk m) {
    return new Message.SnapshotChunk(
        m.getLeader(),
        m.getRecipient(),
        m.getTerm(),
        m.getLastIndex(),
        m.getLastTerm(),
        m.getOffset(),
        m.getData().toByteArray(),
        m.getDone(),
        Members.fromBytes(m.getMembers().toByteArray()));
  }

  private static Message decode(SnapshotReply m) {
    return new Message.SnapshotReply(
        m.getFollower(),
        m.getRecipient(),
        m.getTerm(),
        m.getLastIndex(),
        m.getNextOffset(),
        m.getDone());
  }
}
