package org.goldcrestfall.daemon.peer;

import com.google.common.flogger.FluentLogger;
import java.io.IOException;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.RejectedExecutionException;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;
import org.goldcrestfall.core.common.Incarnation;
import org.goldcrestfall.core.common.MillisClock;
import org.goldcrestfall.core.control.ConfigView;
import org.goldcrestfall.core.membership.Member;
import org.goldcrestfall.core.membership.Member.Status;
import org.goldcrestfall.core.membership.Membership;
import org.goldcrestfall.core.membership.MembershipEffect;
import org.goldcrestfall.core.membership.MembershipMessage;
import org.goldcrestfall.core.membership.PauseDetector;
import org.goldcrestfall.core.membership.UpstreamAnnouncement;
import org.goldcrestfall.core.membership.UpstreamSnapshot;
import org.goldcrestfall.wire.PeerTransport;
import org.goldcrestfall.wire.generated.Body;
import org.goldcrestfall.wire.generated.Gossip;

/**
 * Runs membership, upstream dissemination and configuration of one daemon. All state is confined to
 * one thread; readers on other threads get immutable snapshots.
 */
public final class PeerService implements AutoCloseable {

  static final long TICK_MILLIS = 100;
  private static final long PING_TIMEOUT_MILLIS = 2000;

  /**
   * Minimum time between two messages that are sent to a host only to give it a stamp, a clock
   * reading that the host echoes and that bounds the transit time of its messages.
   */
  private static final long MIN_STAMP_INTERVAL_MILLIS = 500;

  private static final FluentLogger logger = FluentLogger.forEnclosingClass();

  private final PeerTransport transport;
  private final MillisClock clock;
  private final PeerThreads threads;
  private final Membership membership;
  private final Dissemination dissemination;
  private final ConfigService config;
  private final Map<String, CompletableFuture<Body>> pendingReplies = new HashMap<>();
  private final Map<String, Long> stampSentAtMillis = new HashMap<>();
  private final List<PeerListener> listeners = new CopyOnWriteArrayList<>();
  private final PauseDetector pauseDetector;
  private long pushedRevision;
  private volatile List<Member> members = List.of();
  private volatile UpstreamSnapshot upstreams = UpstreamSnapshot.EMPTY;
  private volatile Map<String, Map<String, Long>> milliRates = Map.of();

  /**
   * Creates a service; {@link #start} starts it.
   *
   * @param source configuration of the control member in this process, or null
   * @throws IOException if the stored configuration cannot be read
   */
  public PeerService(
      PeerOptions options, PeerTransport transport, MillisClock clock, ConfigSource source)
      throws IOException {
    this(
        options,
        transport,
        clock,
        source,
        options.dataFolder() == null ? null : new ConfigFile(options.dataFolder()),
        PeerThreads.start(options.host()));
  }

  PeerService(
      PeerOptions options,
      PeerTransport transport,
      MillisClock clock,
      ConfigSource source,
      ConfigStore store,
      PeerThreads threads)
      throws IOException {
    this.transport = transport;
    this.clock = clock;
    this.threads = threads;
    long now = clock.nowMillis();
    pauseDetector = new PauseDetector(now);
    Member self =
        new Member(options.host(), 0, 0, Status.ALIVE, options.address(), options.zone(), 0);
    membership = new Membership(self, options.seeds(), options.seed(), now);
    dissemination =
        new Dissemination(
            options.host(),
            (int) (options.seed() ^ options.seed() >>> 32),
            a -> listeners.forEach(l -> l.upstreamAnnounced(a)));
    config =
        new ConfigService(
            options, transport, clock, source, store, threads, this::execute, this::configChanged);
    members = membership.members();
  }

  /** Registers the message handlers and starts the periodic work. */
  public void start() {
    for (Body.KindCase kind :
        List.of(Body.KindCase.PING, Body.KindCase.PING_REQUEST, Body.KindCase.GOSSIP)) {
      transport.registerHandler(kind, this::receive);
    }
    config.start();
    threads.scheduleRepeatedly(loggingExceptions(this::tick), TICK_MILLIS);
  }

  /** Adds a listener, which is called for changes from now on. */
  public void addListener(PeerListener listener) {
    listeners.add(listener);
  }

  /** Sets the incarnation that the control group has issued. */
  public void setIncarnation(Incarnation incarnation) {
    transport.setIncarnation(incarnation);
    execute(
        () -> {
          membership.setBoot(incarnation.boot());
          dissemination.setBoot(incarnation.boot());
          members = membership.members();
        });
  }

  /** Returns all known members, including this one and members that are dead or have left. */
  public List<Member> members() {
    return members;
  }

  /** Returns the configuration revision that each live host serves, by host. */
  public Map<String, Long> hostRevisions() {
    Map<String, Long> revisions = new TreeMap<>();
    for (Member m : members) {
      if (m.live()) {
        revisions.put(m.host(), m.configRevision());
      }
    }
    return revisions;
  }

  /** Returns the known upstreams; {@link UpstreamSnapshot#routable} selects those to route to. */
  public UpstreamSnapshot upstreams() {
    return upstreams;
  }

  /** Accepts an upstream announcement; completes with whether it is newer than the known one. */
  public CompletableFuture<Boolean> announce(UpstreamAnnouncement announcement) {
    CompletableFuture<Boolean> result = new CompletableFuture<>();
    execute(
        () -> {
          long now = clock.nowMillis();
          boolean accepted =
              dissemination.announce(announcement, pauseDetector.maxInputAgeMillis(now), now);
          upstreams = dissemination.upstreams();
          push();
          result.complete(accepted);
        });
    return result;
  }

  /** Returns the configuration to serve. */
  public ConfigView configView() {
    return config.view();
  }

  /** Returns whether the control group has confirmed the configuration since the start. */
  public boolean configConfirmed() {
    return config.confirmed();
  }

  /** Returns the time since the revision was last confirmed, or since the start if it never was. */
  public long configConfirmationAgeMillis() {
    return config.confirmationAgeMillis();
  }

  /** Publishes this router's recent usage of a limit, in thousandths of a request per second. */
  public void publishUsage(String limit, long milliRate) {
    execute(() -> dissemination.publishUsage(limit, milliRate));
  }

  /** Returns the recent usage of a limit by host, in thousandths of a request per second. */
  public Map<String, Long> milliRatesByHost(String limit) {
    return milliRates.getOrDefault(limit, Map.of());
  }

  /** Announces that this member leaves; completes once its calls to other members have ended. */
  public CompletableFuture<Void> leave() {
    CompletableFuture<Void> done = new CompletableFuture<>();
    execute(
        () -> {
          List<CompletableFuture<Body>> calls = new ArrayList<>();
          for (MembershipEffect e : membership.leave()) {
            if (e instanceof MembershipEffect.Send s) {
              calls.add(call(s));
            }
          }
          members = membership.members();
          CompletableFuture.allOf(calls.toArray(new CompletableFuture<?>[0]))
              .whenComplete((v, e) -> done.complete(null));
        });
    return done;
  }

  @Override
  public void close() {
    threads.close();
  }

  private void execute(Runnable task) {
    try {
      threads.execute(loggingExceptions(task));
    } catch (RejectedExecutionException e) {
      logger.atFine().log("peer: service is closed");
    }
  }

  /** Wraps a task to log its exceptions, which would otherwise cancel the periodic work. */
  private static Runnable loggingExceptions(Runnable task) {
    return () -> {
      try {
        task.run();
      } catch (RuntimeException e) {
        logger.atSevere().withCause(e).atMostEvery(1, TimeUnit.SECONDS).log(
            "peer: task failed with an exception");
      }
    };
  }

  private void tick() {
    long now = clock.nowMillis();
    pauseDetector.tick(now);
    run(membership.tick(now), now);
    dissemination.tick(now);
    Set<String> peers = new HashSet<>();
    membership.livePeers().forEach(m -> peers.add(m.address()));
    config.tick(peers, now);
    push();
    upstreams = dissemination.upstreams();
    milliRates = dissemination.milliRates();
  }

  private CompletableFuture<Body> receive(Incarnation sender, Body body) {
    CompletableFuture<Body> reply = new CompletableFuture<>();
    execute(
        () -> {
          try {
            processMessage(sender.host(), body, reply);
          } catch (IllegalArgumentException e) {
            reply.completeExceptionally(e);
          }
        });
    return reply;
  }

  private void processMessage(String senderHost, Body body, CompletableFuture<Body> reply) {
    Gossip g = MembershipCodec.gossipOf(body);
    if (!g.getSelf().getHost().equals(senderHost)) {
      throw new IllegalArgumentException(
          "record of " + g.getSelf().getHost() + " from " + senderHost);
    }
    long now = clock.nowMillis();
    receiveGossip(senderHost, g, body.hasGossip(), now);
    if (body.hasGossip()) {
      reply.complete(null);
      return;
    }
    MembershipMessage message = MembershipCodec.read(body);
    CompletableFuture<Body> replaced =
        pendingReplies.put(senderHost + "/" + message.number(), reply);
    if (replaced != null) {
      replaced.completeExceptionally(new TimeoutException("replaced by a repeated request"));
    }
    run(membership.receive(message, now), now);
  }

  private void receiveGossip(String senderHost, Gossip g, boolean oneWay, long now) {
    boolean wantsStamp = dissemination.receive(senderHost, g, now);
    upstreams = dissemination.upstreams();
    String address = g.getSelf().getAddress();
    config.learnRevision(address, g.getConfigRevision(), now);
    boolean stampAllowed =
        now - stampSentAtMillis.getOrDefault(senderHost, -MIN_STAMP_INTERVAL_MILLIS)
            >= MIN_STAMP_INTERVAL_MILLIS;
    if (oneWay && wantsStamp && stampAllowed) {
      stampSentAtMillis.put(senderHost, now);
      sendGossip(address, senderHost, Gossip.newBuilder(), now);
    }
  }

  private void run(List<MembershipEffect> effects, long now) {
    boolean changed = false;
    for (MembershipEffect e : effects) {
      if (e instanceof MembershipEffect.Send s) {
        call(s);
      } else if (e instanceof MembershipEffect.Reply r) {
        var reply = pendingReplies.remove(r.host() + "/" + r.ack().number());
        if (reply != null) {
          reply.complete(encode(r.ack(), r.host(), now));
        }
      } else if (e instanceof MembershipEffect.Changed c) {
        changed = true;
        memberChanged(c);
      }
    }
    if (changed) {
      members = membership.members();
    }
  }

  private void memberChanged(MembershipEffect.Changed c) {
    Member m = c.after();
    if (c.before() == null || c.before().status() != m.status()) {
      logger.atInfo().log("peer: member %s at %s is %s", m.incarnation(), m.address(), m.status());
    }
    if (!m.live()) {
      dissemination.removePeer(m.host());
      stampSentAtMillis.remove(m.host());
    }
    listeners.forEach(l -> l.memberChanged(m));
  }

  private CompletableFuture<Body> call(MembershipEffect.Send s) {
    long now = clock.nowMillis();
    String receiver = null;
    for (Member m : membership.livePeers()) {
      if (m.address().equals(s.address())) {
        receiver = m.host();
      }
    }
    Body body = encode(s.message(), receiver, now);
    var call = transport.call(s.address(), body, PING_TIMEOUT_MILLIS);
    call.thenAccept(b -> execute(() -> receiveAck(b)));
    return call;
  }

  private void receiveAck(Body body) {
    if (!body.hasAck() || body.getAck().getGossip().getSelf().getHost().isEmpty()) {
      return;
    }
    long now = clock.nowMillis();
    Gossip g = body.getAck().getGossip();
    receiveGossip(g.getSelf().getHost(), g, false, now);
    run(membership.receive(MembershipCodec.read(body), now), now);
  }

  private Body encode(MembershipMessage message, String receiver, long now) {
    Gossip.Builder g = Gossip.newBuilder().setConfigRevision(config.view().revision());
    g.setFull(message.gossip().full());
    dissemination.addStampsAndUpstreams(g, receiver, membership.livePeers().size() + 1, now);
    return MembershipCodec.write(message, g);
  }

  /** Sends new announcements, usage reports and a new revision to every live peer. */
  private void push() {
    long now = clock.nowMillis();
    Gossip.Builder g = dissemination.nextPush(now);
    long revision = config.sourceRevision();
    boolean revisionIsNew = revision > pushedRevision;
    if (g.getUpstreamsCount() == 0 && g.getUsageCount() == 0 && !revisionIsNew) {
      return;
    }
    pushedRevision = Math.max(pushedRevision, revision);
    Gossip updates = g.build();
    for (Member m : membership.livePeers()) {
      sendGossip(m.address(), m.host(), updates.toBuilder(), now);
    }
  }

  private void sendGossip(String address, String host, Gossip.Builder g, long now) {
    dissemination.addStamps(g, host, now);
    g.setConfigRevision(config.view().revision());
    MembershipCodec.addSelf(membership.self(), g);
    transport.send(address, Body.newBuilder().setGossip(g).build());
  }

  private void configChanged(ConfigView view) {
    membership.setConfigRevision(view.revision());
    members = membership.members();
    listeners.forEach(l -> l.configChanged(view));
  }
}
