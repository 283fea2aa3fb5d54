package org.goldcrestfall.core.consensus;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.stream.Stream;
import org.apache.commons.rng.UniformRandomProvider;
import org.apache.commons.rng.simple.RandomSource;

/**
 * The state that all roles of a member share: term, vote, log, commit index, and the messages that
 * must not be sent before the state that they report is on disk. Times are in milliseconds on the
 * member's clock.
 */
final class Replica {

  /** A message, or this member's own vote if {@code message} is null, that waits for a sync. */
  private record AwaitingSync(long sequence, long term, Message message) {}

  /**
   * A write that is not synced yet, with the index and term of the last entry that it leaves in the
   * log; both are 0 if it does not change the log.
   */
  private record PendingWrite(long sequence, long lastIndex, long lastTerm) {}

  final String self;
  final Timing timing;
  final GroupPolicy policy;
  final int supportedProtocol;
  final Limits limits;
  final Log log;
  private final UniformRandomProvider random;
  private final Deque<AwaitingSync> awaitingSync = new ArrayDeque<>();
  private final Deque<PendingWrite> pendingWrites = new ArrayDeque<>();
  private List<Effect> effects = new ArrayList<>();
  private HardState hardState;

  /** The sequence number of the last write. */
  private long writeSequence;

  private long persistedSequence;

  /** The sequence number of the last write of term and vote. */
  private long hardStateSequence;

  Role role = Role.FOLLOWER;
  String leaderId = "";
  long commitIndex;

  /** The index up to which the log is on disk. */
  long durableIndex;

  /** Whether the disk accepts writes. */
  boolean writable = true;

  /** The ids of members that are known to have lost their disks. */
  private Set<String> lostDisks = Set.of();

  /** The time of the last message from a leader. */
  long leaderHeardAt;

  /** The id of the member that sent that message, or an empty string before the first one. */
  String lastLeaderId = "";

  /** The time at which this member starts an election unless a leader contacts it earlier. */
  long electionDueAt;

  long now;

  Replica(
      String self,
      PersistentState persistentState,
      Timing timing,
      GroupPolicy policy,
      int supportedProtocol,
      Limits limits,
      long seed,
      long nowMillis) {
    this.policy = policy;
    this.supportedProtocol = supportedProtocol;
    this.limits = limits;
    this.self = self;
    this.timing = timing;
    random = RandomSource.SPLIT_MIX_64.create(seed);
    log = new Log(persistentState.snapshot(), persistentState.entries(), limits);
    hardState = persistentState.hardState();
    if (log.lastTerm() > hardState.term()) {
      hardState = new HardState(log.lastTerm(), "");
    }
    commitIndex = log.baseIndex();
    durableIndex = log.lastIndex();
    now = nowMillis;
    if (policy.leaseReads()) {
      // Before its restart, this member may have granted a leader a lease, so it waits as if it had
      // just heard from that leader.
      leaderHeardAt = nowMillis;
      resetElectionTimeout();
    } else {
      leaderHeardAt = nowMillis - timing.electionMinMillis();
      electionDueAt = nowMillis + timing.heartbeatMillis() + random.nextLong(timing.leaseMillis());
    }
  }

  /** Records that a member has lost its disk, and forgets those that are no members any more. */
  void recordLostDisk(String id) {
    Set<String> lost = new HashSet<>(lostDisks);
    lost.add(id);
    lost.removeIf(i -> decidingMembers().stream().noneMatch(m -> m.id().equals(i)));
    lostDisks = Set.copyOf(lost);
  }

  /** Returns the ids of members that are known to have lost their disks; immutable. */
  Set<String> lostDisks() {
    return lostDisks;
  }

  /** Returns the quorum of a leader or candidate. */
  Quorum quorum(Set<String> lostBeforeElection) {
    return new Quorum(log.members(), membersBefore(), lostBeforeElection, policy);
  }

  /**
   * Returns the list before the newest one if the two have different quorums and the newest one is
   * not known to be committed, and otherwise {@link Members#NONE}.
   */
  private Members membersBefore() {
    boolean decided = commitIndex >= log.membersIndex() || !log.changesQuorum();
    return decided ? Members.NONE : log.membersAt(log.membersIndex() - 1);
  }

  /** Returns the members of the newest list and the voters of the one before it if they decide. */
  List<Member> decidingMembers() {
    Members newest = log.members();
    return Stream.concat(
            newest.all().stream(),
            membersBefore().voters().filter(v -> newest.find(v.id()).isEmpty()))
        .toList();
  }

  /** Returns whether a member is not in the list any more and no later leader can bring it back. */
  boolean hasLeft(String id) {
    return log.members().find(id).isEmpty()
        && commitIndex >= log.membersIndex()
        && !log.changesQuorum();
  }

  long term() {
    return hardState.term();
  }

  String vote() {
    return hardState.vote();
  }

  void resetElectionTimeout() {
    long spread = timing.electionMaxMillis() - timing.electionMinMillis();
    electionDueAt = now + timing.electionMinMillis() + random.nextLong(spread);
  }

  /** Returns whether a leader contacted this member so recently that it may hold a lease. */
  boolean hasHeardLeaderRecently() {
    return now < leaderHeardAt + timing.electionMinMillis();
  }

  void emit(Effect effect) {
    effects.add(effect);
  }

  List<Effect> drain() {
    List<Effect> drained = effects;
    effects = new ArrayList<>();
    return drained;
  }

  void send(Message message) {
    emit(new Effect.Send(message));
  }

  /** Sends a message once all writes so far, or only those of term and vote, are on disk. */
  void sendAfterSync(Message message, boolean onlyHardState) {
    long requiredSequence = onlyHardState ? hardStateSequence : writeSequence;
    if (requiredSequence <= persistedSequence) {
      send(message);
    } else {
      awaitingSync.add(new AwaitingSync(requiredSequence, term(), message));
    }
  }

  /** Makes {@link #onPersisted} report this member's vote for itself once it is on disk. */
  void countOwnVoteAfterSync() {
    awaitingSync.add(new AwaitingSync(writeSequence, term(), null));
  }

  void setHardState(long term, String vote) {
    HardState next = new HardState(term, vote);
    if (next.equals(hardState)) {
      return;
    }
    hardState = next;
    hardStateSequence = ++writeSequence;
    pendingWrites.add(new PendingWrite(writeSequence, 0, 0));
    emit(new Effect.Persist(writeSequence, hardState, null, 0, List.of()));
  }

  void persistEntries(long firstIndex, List<Entry> entries) {
    durableIndex = Math.min(durableIndex, firstIndex - 1);
    pendingWrites.add(new PendingWrite(++writeSequence, log.lastIndex(), log.lastTerm()));
    emit(new Effect.Persist(writeSequence, null, null, firstIndex, entries));
  }

  void persistSnapshot(Snapshot snapshot) {
    durableIndex = 0;
    pendingWrites.add(new PendingWrite(++writeSequence, snapshot.lastIndex(), snapshot.lastTerm()));
    emit(new Effect.Persist(writeSequence, null, snapshot, 0, List.of()));
  }

  /**
   * Sends the messages that waited for a sync; returns whether this member's vote for itself in the
   * current term is now on disk.
   */
  boolean onPersisted(long upTo) {
    persistedSequence = Math.max(persistedSequence, upTo);
    while (!pendingWrites.isEmpty() && pendingWrites.peek().sequence() <= upTo) {
      PendingWrite w = pendingWrites.poll();
      if (w.lastIndex() > durableIndex && log.termAt(w.lastIndex()) == w.lastTerm()) {
        durableIndex = w.lastIndex();
      }
    }
    boolean voted = false;
    for (int i = awaitingSync.size(); i > 0; i--) {
      AwaitingSync w = awaitingSync.poll();
      if (w.sequence() > upTo) {
        awaitingSync.add(w);
      } else if (w.message() != null) {
        send(w.message());
      } else {
        voted |= w.term() == term();
      }
    }
    return voted;
  }

  /** Becomes a follower in a term; {@code newLeaderId} is empty if the leader is unknown. */
  void becomeFollower(long newTerm, String newLeaderId) {
    if (newTerm > term()) {
      setHardState(newTerm, "");
    }
    if (role != Role.FOLLOWER) {
      role = Role.FOLLOWER;
      resetElectionTimeout();
    }
    leaderId = newLeaderId;
  }

  /**
   * Returns whether a log that ends with the given index and term is at least as up to date as this
   * one.
   */
  boolean isUpToDate(long lastIndex, long lastTerm) {
    return lastTerm != log.lastTerm() ? lastTerm > log.lastTerm() : lastIndex >= log.lastIndex();
  }

  /** Advances the commit index and applies the entries; {@code proposals} is null on a follower. */
  void commitTo(long index, Proposals proposals) {
    while (commitIndex < index) {
      Entry entry = log.get(++commitIndex);
      long proposal = proposals == null ? 0 : proposals.takeCommitted(commitIndex, this);
      emit(new Effect.Apply(entry, proposal));
    }
  }
}
