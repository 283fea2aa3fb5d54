package org.goldcrestfall.core.consensus;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import org.apache.commons.rng.UniformRandomProvider;
import org.apache.commons.rng.simple.RandomSource;

/**
 * The state that all roles of a member share: term, vote, log, commit index, and the messages that
 * wait until what they promise is on disk.
 */
final class Replica {

  /** A message, or the own vote where {@code message} is null, that waits for a sync. */
  private record Waiting(long sequence, long term, Message message) {}

  private record Written(long sequence, long lastIndex, long lastTerm) {}

  final String self;
  final Timing timing;
  final GroupPolicy policy;
  final Limits limits;
  final Log log;
  private final UniformRandomProvider random;
  private final Deque<Waiting> waiting = new ArrayDeque<>();
  private final Deque<Written> written = new ArrayDeque<>();
  private List<Effect> effects = new ArrayList<>();
  private HardState hardState;
  private long sequence;
  private long persistedSequence;
  private long hardSequence;

  Role role = Role.FOLLOWER;
  String leader = "";
  long commit;
  long durable;
  boolean writable = true;
  long contactAt;
  long electionAt;
  long now;

  Replica(
      String self,
      Stored stored,
      Timing timing,
      GroupPolicy policy,
      Limits limits,
      long seed,
      long nowMillis) {
    this.policy = policy;
    this.limits = limits;
    this.self = self;
    this.timing = timing;
    random = RandomSource.SPLIT_MIX_64.create(seed);
    log = new Log(stored.snapshot(), stored.entries(), limits);
    hardState = stored.hardState();
    if (log.lastTerm() > hardState.term()) {
      hardState = new HardState(log.lastTerm(), "");
    }
    commit = log.baseIndex();
    durable = log.lastIndex();
    now = nowMillis;
    if (policy.leaseReads()) {
      // A restarted member may have promised a leader its lease, so it waits as if it had just
      // heard.
      contactAt = nowMillis;
      resetElection();
    } else {
      contactAt = nowMillis - timing.electionMinMillis();
      electionAt = nowMillis + timing.heartbeatMillis() + random.nextLong(timing.leaseMillis());
    }
  }

  long term() {
    return hardState.term();
  }

  String vote() {
    return hardState.vote();
  }

  void resetElection() {
    long spread = timing.electionMaxMillis() - timing.electionMinMillis();
    electionAt = now + timing.electionMinMillis() + random.nextLong(spread);
  }

  /** Returns whether a leader was heard so recently that it may hold a lease. */
  boolean heardLeader() {
    return now < contactAt + timing.electionMinMillis();
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

  /** Sends a message once everything written so far, or only the term and vote, is on disk. */
  void sendAfterSync(Message message, boolean onlyHardState) {
    long gate = onlyHardState ? hardSequence : sequence;
    if (gate <= persistedSequence) {
      send(message);
    } else {
      waiting.add(new Waiting(gate, term(), message));
    }
  }

  /** Marks the own vote as counted once it is on disk. */
  void voteAfterSync() {
    waiting.add(new Waiting(sequence, term(), null));
  }

  void setHardState(long term, String vote) {
    HardState next = new HardState(term, vote);
    if (next.equals(hardState)) {
      return;
    }
    hardState = next;
    hardSequence = ++sequence;
    written.add(new Written(sequence, 0, 0));
    emit(new Effect.Persist(sequence, hardState, null, 0, List.of()));
  }

  void persistEntries(long firstIndex, List<Entry> entries) {
    durable = Math.min(durable, firstIndex - 1);
    written.add(new Written(++sequence, log.lastIndex(), log.lastTerm()));
    emit(new Effect.Persist(sequence, null, null, firstIndex, entries));
  }

  void persistSnapshot(Snapshot snapshot) {
    durable = 0;
    written.add(new Written(++sequence, snapshot.lastIndex(), snapshot.lastTerm()));
    emit(new Effect.Persist(sequence, null, snapshot, 0, List.of()));
  }

  /** Releases what waited for a sync; returns whether the own vote in this term is among it. */
  boolean persisted(long upTo) {
    persistedSequence = Math.max(persistedSequence, upTo);
    while (!written.isEmpty() && written.peek().sequence() <= upTo) {
      Written w = written.poll();
      if (w.lastIndex() > durable && log.termAt(w.lastIndex()) == w.lastTerm()) {
        durable = w.lastIndex();
      }
    }
    boolean voted = false;
    for (int i = waiting.size(); i > 0; i--) {
      Waiting w = waiting.poll();
      if (w.sequence() > upTo) {
        waiting.add(w);
      } else if (w.message() != null) {
        send(w.message());
      } else {
        voted |= w.term() == term();
      }
    }
    return voted;
  }

  /** Moves to a term as a follower of an unknown or known leader. */
  void follow(long newTerm, String newLeader) {
    if (newTerm > term()) {
      setHardState(newTerm, "");
    }
    if (role != Role.FOLLOWER) {
      role = Role.FOLLOWER;
      resetElection();
    }
    leader = newLeader;
  }

  /** Returns whether a log that ends at the given place holds all that this one does. */
  boolean isUpToDate(long lastIndex, long lastTerm) {
    return lastTerm != log.lastTerm() ? lastTerm > log.lastTerm() : lastIndex >= log.lastIndex();
  }

  /** Raises the commit index; {@code replies} is null on a follower. */
  void commitTo(long index, Proposals replies) {
    while (commit < index) {
      Entry entry = log.get(++commit);
      long proposal = replies == null ? 0 : replies.take(commit, this);
      emit(new Effect.Apply(entry, proposal));
    }
  }
}
