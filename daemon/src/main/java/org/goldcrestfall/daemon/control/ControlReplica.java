package org.goldcrestfall.daemon.control;

import com.google.common.collect.ImmutableList;
import com.google.common.flogger.FluentLogger;
import java.io.IOException;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.RejectedExecutionException;
import java.util.concurrent.ScheduledThreadPoolExecutor;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import org.goldcrestfall.core.common.ErrorKind;
import org.goldcrestfall.core.common.MillisClock;
import org.goldcrestfall.core.common.RequestFailure;
import org.goldcrestfall.core.consensus.Consensus;
import org.goldcrestfall.core.consensus.Departure;
import org.goldcrestfall.core.consensus.Effect;
import org.goldcrestfall.core.consensus.Entry;
import org.goldcrestfall.core.consensus.Event;
import org.goldcrestfall.core.consensus.HardState;
import org.goldcrestfall.core.consensus.Member;
import org.goldcrestfall.core.consensus.Members;
import org.goldcrestfall.core.consensus.PersistentState;
import org.goldcrestfall.core.consensus.Role;
import org.goldcrestfall.core.consensus.Snapshot;
import org.goldcrestfall.daemon.storage.DamagedDataException;
import org.goldcrestfall.daemon.storage.DataFolder;
import org.goldcrestfall.daemon.storage.Disk;
import org.goldcrestfall.daemon.storage.Identity;
import org.goldcrestfall.wire.PeerTransport;

/**
 * One member of the control group. It runs the consensus core and the state machine on one thread,
 * writes to the data folder on another, and sends messages over a {@link PeerTransport}. The
 * futures that it returns are completed on the consensus thread, so their dependent stages must not
 * block.
 */
public final class ControlReplica implements AutoCloseable {

  /** The largest size of a command; a frame between daemons has room for two such commands. */
  public static final int MAX_COMMAND_BYTES = 1 << 20;

  private static final FluentLogger logger = FluentLogger.forEnclosingClass();
  private static final long MIN_TICK_MILLIS = 20;
  private static final int TICKS_PER_HEARTBEAT = 4;
  private static final int MAX_PENDING_PROPOSALS = 10_000;
  private static final int MAX_LEARNED_ADDRESSES = 100;
  private static final byte[] NO_REPLY = new byte[0];

  private final ControlSettings settings;
  private final StateMachine machine;
  private final PeerTransport transport;
  private final MillisClock clock;
  private final DataFolder folder;
  private final Identity identity;
  private final long seed;
  private final ScheduledThreadPoolExecutor executor;
  private final StorageThread storage;
  private final Map<Long, CompletableFuture<byte[]>> proposals = new HashMap<>();
  private final Map<String, String> learnedAddresses = new HashMap<>();

  /** The addresses of hosts that have sent a join request. */
  private final Set<String> askingAddresses = new HashSet<>();

  /** The replies to release later, by proposal; {@link #NO_REPLY} until the command is applied. */
  private final Map<Long, byte[]> heldReplies = new HashMap<>();

  private final Map<Long, PendingQuery> queries = new HashMap<>();
  private final List<Consumer<ControlStatus>> listeners = new CopyOnWriteArrayList<>();
  private Consensus consensus;
  private long lastRequestId;
  private long appliedIndex;
  private long entriesSinceSnapshot;
  private long bytesSinceSnapshot;
  private boolean compacting;
  private volatile boolean writable = true;
  private volatile boolean running = true;

  /** Whether this member is about to stop, so that it does not ask to join any more. */
  private volatile boolean leaving;

  private volatile ControlStatus status;

  private record PendingQuery(byte[] query, CompletableFuture<byte[]> reply) {}

  private ControlReplica(
      ControlSettings settings,
      MemberFiles files,
      StateMachine machine,
      PeerTransport transport,
      MillisClock clock,
      long seed) {
    this.settings = settings;
    folder = files.folder();
    identity = files.identity();
    this.machine = machine;
    this.transport = transport;
    this.clock = clock;
    this.seed = seed;
    executor =
        new ScheduledThreadPoolExecutor(
            1,
            r -> {
              Thread thread = new Thread(r, "control-consensus");
              thread.setDaemon(true);
              return thread;
            });
    executor.setExecuteExistingDelayedTasksAfterShutdownPolicy(false);
    storage = new StorageThread(folder, this::post);
    start(files.stored());
  }

  /**
   * Starts a member on a disk, which {@link #close} closes. If the stored data is damaged and the
   * group has other members, the files are quarantined and the member rejoins as a learner.
   *
   * @param seed the random seed of the election timeouts; must differ between members
   * @throws DamagedDataException if the data is damaged and the group has no other member
   */
  public static ControlReplica open(
      ControlSettings settings,
      Disk disk,
      StateMachine machine,
      PeerTransport transport,
      MillisClock clock,
      long seed)
      throws IOException {
    MemberFiles files = MemberFiles.open(settings, disk);
    ControlReplica replica = new ControlReplica(settings, files, machine, transport, clock, seed);
    new ControlHandlers(replica, settings, transport).register();
    new GroupJoiner(replica, settings, transport).start();
    return replica;
  }

  private void start(PersistentState persistentState) {
    if (persistentState.snapshot().lastIndex() > 0) {
      machine.restore(persistentState.snapshot().data());
    }
    appliedIndex = persistentState.snapshot().lastIndex();
    consensus = newConsensus(persistentState);
    publish();
    executor.scheduleWithFixedDelay(
        () -> handle(new Event.Tick()), tickMillis(), tickMillis(), TimeUnit.MILLISECONDS);
  }

  private long tickMillis() {
    return Math.max(MIN_TICK_MILLIS, settings.timing().heartbeatMillis() / TICKS_PER_HEARTBEAT);
  }

  /**
   * Commits a command through this member and returns the reply. The future fails with {@link
   * NotLeaderException} if this member is not the leader, with {@link UnknownOutcomeException} if
   * the command may have been committed or may still be, and with a {@link RequestFailure} if the
   * command is too large or too many commands are pending.
   */
  public CompletableFuture<byte[]> submit(byte[] command) {
    CompletableFuture<byte[]> reply = new CompletableFuture<>();
    if (command.length > MAX_COMMAND_BYTES) {
      // An entry that does not fit into a frame would block the replication of all later entries.
      reply.completeExceptionally(
          new RequestFailure(ErrorKind.BODY_TOO_LARGE, "the command is too large to be committed"));
      return reply;
    }
    execute(
        () -> {
          if (proposals.size() >= MAX_PENDING_PROPOSALS) {
            reply.completeExceptionally(
                new RequestFailure(ErrorKind.OVERLOADED, "too many commands are being committed"));
            return;
          }
          long id = ++lastRequestId;
          proposals.put(id, reply);
          handle(
              new Event.Propose(
                  id, machine.stampProposal(command, consensus.members().protocol())));
        },
        reply);
    return reply;
  }

  /**
   * Executes a linearizable query on this member. The future fails with {@link NotLeaderException}
   * if this member is not the leader.
   */
  public CompletableFuture<byte[]> query(byte[] query) {
    CompletableFuture<byte[]> reply = new CompletableFuture<>();
    execute(
        () -> {
          long id = ++lastRequestId;
          queries.put(id, new PendingQuery(query, reply));
          handle(new Event.Read(id));
        },
        reply);
    return reply;
  }

  /** Returns the status after the last processed event. */
  public ControlStatus status() {
    return status;
  }

  /**
   * Returns whether this member is the leader and its lease, which excludes any other leader, is
   * valid at the given time of its clock.
   */
  public boolean isLeaderWithLease(long nowMillis) {
    ControlStatus s = status;
    return s.running() && s.role() == Role.LEADER && nowMillis < s.leaseUntilMillis();
  }

  /**
   * Registers a listener for changes of the role, term, leader or member list, and of whether the
   * member runs and its disk is writable. It is called on the consensus thread and must not block.
   */
  public void addListener(Consumer<ControlStatus> listener) {
    listeners.add(listener);
  }

  /** Returns the peer address of this member. */
  public String address() {
    return settings.address();
  }

  /**
   * Gives up this member's vote before its process ends, if the group can spare it. The future
   * completes with {@link Departure#DONE} once no later leader counts on this member, or with
   * {@link Departure#REFUSED} if the group needs the vote; it may not complete while the group has
   * no leader.
   */
  public CompletableFuture<Departure> leave() {
    if (!settings.policy().openMembership()) {
      return CompletableFuture.completedFuture(Departure.REFUSED);
    }
    leaving = true;
    return new GroupLeaver(this, transport).start();
  }

  /** Returns whether {@link #leave} has been called. */
  boolean isLeaving() {
    return leaving;
  }

  /**
   * Releases a member if this one leads and the group can spare it; returns how far that is. Must
   * be called on the consensus thread.
   */
  Departure release(String memberId) {
    handle(new Event.Leave(memberId));
    return consensus.departure(memberId);
  }

  /** Returns the members whose replies may decide. Must be called on the consensus thread. */
  List<Member> decidingMembers() {
    return consensus.decidingMembers();
  }

  Identity identity() {
    return identity;
  }

  ScheduledThreadPoolExecutor executor() {
    return executor;
  }

  /** Queues an event for the consensus thread. */
  void post(Event event) {
    execute(() -> handle(event), null);
  }

  /** Forms a new group with the given members. Must be called on the consensus thread. */
  void formGroup(ImmutableList<Member> members) throws IOException {
    Snapshot initial = Snapshot.initial(Members.of(members));
    folder.writeInitialSnapshot(initial);
    logger.atInfo().log("consensus: forming a new group with the members %s", members);
    consensus = newConsensus(new PersistentState(HardState.INITIAL, initial, List.of()));
    publish();
  }

  private Consensus newConsensus(PersistentState persistentState) {
    return new Consensus(
        identity.id(),
        persistentState,
        settings.timing(),
        settings.policy(),
        seed,
        clock.nowMillis());
  }

  private void execute(Runnable task, CompletableFuture<byte[]> reply) {
    try {
      executor.execute(task);
    } catch (RejectedExecutionException e) {
      if (reply != null) {
        reply.completeExceptionally(new NotLeaderException(""));
      }
    }
  }

  private void handle(Event event) {
    if (!running) {
      failPendingRequests();
      return;
    }
    try {
      if (event instanceof Event.DiskChanged e) {
        writable = e.writable();
      } else if (event instanceof Event.SnapshotTaken) {
        compacting = false;
      }
      for (Effect effect : consensus.apply(event, clock.nowMillis())) {
        perform(effect);
      }
      maybeCompact();
    } catch (RuntimeException | Error e) {
      // The consensus core or the state machine may be inconsistent, so this member must stop.
      logger.atSevere().withCause(e).log(
          "consensus: stopping this member after an unexpected exception");
      running = false;
      failPendingRequests();
    }
    publish();
  }

  private void perform(Effect effect) {
    if (effect instanceof Effect.Send e) {
      String address = addressOf(e.message().to());
      if (!address.isEmpty()) {
        transport.send(address, MessageCodec.encode(e.message()));
      }
    } else if (effect instanceof Effect.Persist e) {
      storage.write(e);
    } else if (effect instanceof Effect.Apply e) {
      apply(e);
    } else if (effect instanceof Effect.Restore e) {
      machine.restore(e.snapshot().data());
      appliedIndex = e.snapshot().lastIndex();
    } else if (effect instanceof Effect.ProposalFailed e) {
      heldReplies.remove(e.proposalId());
      CompletableFuture<byte[]> reply = proposals.remove(e.proposalId());
      reply.completeExceptionally(
          e.outcomeUnknown()
              ? new UnknownOutcomeException("the leadership ended before the commit was known")
              : new NotLeaderException(leaderAddress()));
    } else if (effect instanceof Effect.HoldReply e) {
      heldReplies.put(e.proposalId(), NO_REPLY);
    } else if (effect instanceof Effect.ReleaseReply e) {
      proposals.remove(e.proposalId()).complete(heldReplies.remove(e.proposalId()));
    } else if (effect instanceof Effect.ReadReady e) {
      PendingQuery query = queries.remove(e.id());
      query.reply().complete(machine.query(query.query()));
    } else if (effect instanceof Effect.ReadFailed e) {
      queries.remove(e.id()).reply().completeExceptionally(new NotLeaderException(leaderAddress()));
    }
  }

  private void apply(Effect.Apply e) {
    Entry entry = e.entry();
    byte[] reply = null;
    if (entry.type() == Entry.Type.COMMAND) {
      reply = machine.apply(entry.index(), entry.payload());
      bytesSinceSnapshot += entry.payload().length;
    }
    appliedIndex = entry.index();
    entriesSinceSnapshot++;
    if (heldReplies.replace(e.proposalId(), reply) != null) {
      return;
    }
    if (e.proposalId() != 0) {
      proposals.remove(e.proposalId()).complete(reply);
    }
  }

  private void maybeCompact() {
    if (compacting
        || entriesSinceSnapshot < settings.snapshotEntries()
            && bytesSinceSnapshot < settings.snapshotBytes()) {
      return;
    }
    compacting = true;
    entriesSinceSnapshot = 0;
    bytesSinceSnapshot = 0;
    storage.compact(
        new Snapshot(
            appliedIndex,
            consensus.termAt(appliedIndex),
            consensus.membersAt(appliedIndex),
            machine.snapshot()));
  }

  private void failPendingRequests() {
    proposals
        .values()
        .forEach(
            r -> r.completeExceptionally(new UnknownOutcomeException("this member has stopped")));
    proposals.clear();
    heldReplies.clear();
    queries.values().forEach(q -> q.reply().completeExceptionally(new NotLeaderException("")));
    queries.clear();
  }

  private String leaderAddress() {
    return consensus.leader().isEmpty() ? "" : addressOf(consensus.leader());
  }

  private String addressOf(String memberId) {
    return consensus.decidingMembers().stream()
        .filter(m -> m.id().equals(memberId))
        .findFirst()
        .map(Member::address)
        .or(() -> Optional.ofNullable(learnedAddresses.get(memberId)))
        .orElseGet(() -> settings.members().getOrDefault(hostOf(memberId), ""));
  }

  /** Records the address of a member, for use until the member list has been replicated here. */
  void learnAddress(String memberId, String address) {
    if (learnedAddresses.size() > MAX_LEARNED_ADDRESSES) {
      learnedAddresses.clear();
    }
    learnedAddresses.put(memberId, address);
  }

  /** Records the address of a host that has sent a join request. */
  void recordAsking(String address) {
    execute(
        () -> {
          if (askingAddresses.size() > MAX_LEARNED_ADDRESSES) {
            askingAddresses.clear();
          }
          askingAddresses.add(address);
        },
        null);
  }

  /**
   * Returns the addresses of hosts that have sent a join request. Must be called on the consensus
   * thread.
   */
  Set<String> askingAddresses() {
    return askingAddresses;
  }

  static String hostOf(String memberId) {
    return memberId.substring(0, Math.max(0, memberId.lastIndexOf('#')));
  }

  private void publish() {
    ControlStatus before = status;
    status =
        new ControlStatus(
            consensus.self(),
            consensus.role(),
            consensus.term(),
            leaderAddress(),
            consensus.leaseUntil(),
            consensus.commitIndex(),
            consensus.lastIndex(),
            consensus.members(),
            writable,
            storage.fault(),
            running);
    if (before != null && differs(before, status)) {
      if (before.role() != status.role()
          || !before.leaderAddress().equals(status.leaderAddress())) {
        logger.atInfo().log(
            "consensus: %s is %s in term %d; leader: %s",
            status.memberId(), status.role(), status.term(), status.leaderAddress());
      }
      if (!before.members().equals(status.members())) {
        logger.atInfo().log(
            "consensus: %s has the members %s at index %d, protocol version %d",
            status.memberId(), status.members(), status.lastIndex(), status.members().protocol());
      }
      listeners.forEach(l -> l.accept(status));
    }
  }

  private static boolean differs(ControlStatus a, ControlStatus b) {
    return a.role() != b.role()
        || a.term() != b.term()
        || !a.leaderAddress().equals(b.leaderAddress())
        || !a.members().equals(b.members())
        || a.writable() != b.writable()
        || a.running() != b.running();
  }

  /** Stops the member. Pending commands fail with {@link UnknownOutcomeException}. */
  @Override
  public void close() {
    execute(
        () -> {
          running = false;
          failPendingRequests();
          publish();
        },
        null);
    executor.shutdown();
    try {
      executor.awaitTermination(5, TimeUnit.SECONDS);
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
    storage.close();
    try {
      folder.close();
    } catch (IOException e) {
      logger.atWarning().withCause(e).log("consensus: could not close the data folder");
    }
  }
}
