package org.goldcrestfall.core.membership;

import static com.google.common.base.Preconditions.checkArgument;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Collections;
import java.util.Deque;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.Set;
import org.apache.commons.rng.simple.JDKRandomBridge;
import org.apache.commons.rng.simple.RandomSource;
import org.goldcrestfall.core.membership.Member.Status;
import org.goldcrestfall.core.membership.MembershipMessage.Ack;
import org.goldcrestfall.core.membership.MembershipMessage.Ping;
import org.goldcrestfall.core.membership.MembershipMessage.PingRequest;

/**
 * Failure detection and dissemination of membership according to SWIM (Das, Gupta, Motivala 2002)
 * with suspicion. In addition, a member keeps contacting unreachable seeds and dead members, so
 * that the sides of a healed network partition find each other. The caller calls {@link #tick}
 * about every 100 ms, passes received messages to {@link #receive}, and performs the returned
 * effects.
 */
public final class Membership {

  static final long PROBE_INTERVAL_MILLIS = 1000;
  static final long PROBE_TIMEOUT_MILLIS = 300;

  /** Number of members that are asked to ping a member that does not reply. */
  static final int INDIRECT_PROBES = 3;

  static final long RELAY_TIMEOUT_MILLIS = 600;

  /** Minimum time from the suspicion of a member to its death. */
  static final long SUSPICION_MILLIS = 3000;

  static final long RECONNECT_INTERVAL_MILLIS = 2000;

  /** Minimum time between full exchanges that this member starts because digests differ. */
  static final long FULL_EXCHANGE_INTERVAL_MILLIS = 30_000;

  /** A longer gap between ticks means that this process was paused. */
  static final long PAUSE_THRESHOLD_MILLIS = 1000;

  /** Maximum encoded size of the membership records in a message, out of its 1,400 bytes. */
  static final int MAX_GOSSIP_BYTES = 650;

  /** Number of members that are informed directly when this member leaves. */
  private static final int LEAVE_NOTICES = 5;

  private final List<String> seeds;
  private final Random random;
  private final MemberTable table = new MemberTable();
  private final BroadcastQueue broadcasts = new BroadcastQueue();
  private final Map<String, Long> suspicionDeadlineMillisByHost = new HashMap<>();
  private final Map<Long, Relay> relays = new HashMap<>();
  private final Deque<String> probeOrder = new ArrayDeque<>();
  private Member self;
  private Probe probe;
  private long lastPingNumber;
  private long lastTickMillis;
  private long nextProbeMillis;
  private long nextReconnectMillis;
  private long nextFullExchangeMillis;

  private static final class Probe {
    private final long pingNumber;
    private final String host;
    private final Set<String> expectedSenders = new HashSet<>();
    private long startMillis;
    private boolean indirectProbesSent;

    Probe(long pingNumber, String host, long startMillis) {
      this.pingNumber = pingNumber;
      this.host = host;
      this.startMillis = startMillis;
      expectedSenders.add(host);
    }
  }

  /** A ping that was sent to {@code targetAddress} for the ping request of another member. */
  private record Relay(
      String requester, long requestNumber, String targetAddress, long deadlineMillis) {}

  /**
   * Creates the state of a member that knows no other member.
   *
   * @param self record of this member, with status {@code ALIVE}
   * @param seeds addresses at which other members may be found
   * @param seed seed of the random number generator
   */
  public Membership(Member self, List<String> seeds, long seed, long nowMillis) {
    checkArgument(self.status() == Status.ALIVE, "self must be ALIVE");
    this.self = self;
    this.seeds = seeds.stream().filter(s -> !s.equals(self.address())).distinct().toList();
    random = new JDKRandomBridge(RandomSource.XO_RO_SHI_RO_128_PP, seed);
    lastPingNumber = random.nextLong() >>> 2;
    lastTickMillis = nowMillis;
    nextProbeMillis = nowMillis + random.nextInt((int) PROBE_INTERVAL_MILLIS);
    nextReconnectMillis = nowMillis;
    nextFullExchangeMillis = nowMillis + random.nextInt((int) FULL_EXCHANGE_INTERVAL_MILLIS);
  }

  /** Returns the record of this member. */
  public Member self() {
    return self;
  }

  /** Returns all known members, including this one and those that are dead or have left. */
  public List<Member> members() {
    List<Member> all = new ArrayList<>(table.all());
    all.add(self);
    return all;
  }

  /** Returns the live members other than this one. */
  public List<Member> livePeers() {
    return table.live();
  }

  /**
   * Sets the boot number issued by the control group; ignored unless it is higher than the current
   * one.
   */
  public void setBoot(long boot) {
    if (boot > self.boot()) {
      self = self.withBoot(boot);
    }
  }

  /**
   * Sets the revision of the configuration in use; ignored unless it is higher than the current
   * one.
   */
  public void setConfigRevision(long revision) {
    if (revision > self.configRevision()) {
      self = self.withConfigRevision(revision);
    }
  }

  /** Leaves the group. Some members are informed, and suspicions are no longer refuted. */
  public List<MembershipEffect> leave() {
    List<MembershipEffect> effects = new ArrayList<>();
    self = self.withStatus(Status.LEFT);
    List<Member> peers = table.live();
    Collections.shuffle(peers, random);
    for (Member m : peers.subList(0, Math.min(LEAVE_NOTICES, peers.size()))) {
      effects.add(ping(m.address(), m.host(), false));
    }
    return effects;
  }

  /** Runs the actions that are due at {@code nowMillis}. */
  public List<MembershipEffect> tick(long nowMillis) {
    List<MembershipEffect> effects = new ArrayList<>();
    long gapMillis = nowMillis - lastTickMillis;
    lastTickMillis = nowMillis;
    if (gapMillis > PAUSE_THRESHOLD_MILLIS) {
      // No messages were received during the pause, so missing replies do not indicate failures.
      suspicionDeadlineMillisByHost.replaceAll(
          (host, deadlineMillis) -> deadlineMillis + gapMillis);
      probe = null;
    }
    if (self.status() == Status.LEFT) {
      return effects;
    }
    checkProbe(nowMillis, effects);
    if (nowMillis >= nextProbeMillis) {
      nextProbeMillis = Math.max(nextProbeMillis + PROBE_INTERVAL_MILLIS, nowMillis);
      startProbe(nowMillis, effects);
    }
    expireSuspicions(nowMillis, effects);
    expireRelays(nowMillis, effects);
    for (Member m : table.expire(nowMillis)) {
      broadcasts.remove(m.host());
    }
    if (nowMillis >= nextReconnectMillis) {
      nextReconnectMillis = nowMillis + RECONNECT_INTERVAL_MILLIS;
      contactUnreachable(effects);
    }
    return effects;
  }

  private void checkProbe(long nowMillis, List<MembershipEffect> effects) {
    if (probe == null) {
      return;
    }
    Member target = table.get(probe.host);
    if (target == null || !target.live()) {
      probe = null;
    } else if (nowMillis >= probe.startMillis + PROBE_INTERVAL_MILLIS) {
      probe = null;
      if (target.status() == Status.ALIVE) {
        applyUpdate(target.withStatus(Status.SUSPECT), nowMillis, effects);
      }
    } else if (!probe.indirectProbesSent && nowMillis >= probe.startMillis + PROBE_TIMEOUT_MILLIS) {
      probe.indirectProbesSent = true;
      List<Member> indirectProbers = table.live();
      indirectProbers.remove(target);
      Collections.shuffle(indirectProbers, random);
      for (Member m :
          indirectProbers.subList(0, Math.min(INDIRECT_PROBES, indirectProbers.size()))) {
        probe.expectedSenders.add(m.host());
        Gossip g = composeGossip(m.host(), target.host(), false);
        effects.add(
            new MembershipEffect.Send(
                m.address(), new PingRequest(probe.pingNumber, target.address(), g)));
      }
    }
  }

  private void startProbe(long nowMillis, List<MembershipEffect> effects) {
    if (probe != null) {
      return;
    }
    if (probeOrder.isEmpty()) {
      List<Member> order = table.live();
      Collections.shuffle(order, random);
      order.forEach(m -> probeOrder.add(m.host()));
    }
    for (String host = probeOrder.poll(); host != null; host = probeOrder.poll()) {
      Member m = table.get(host);
      if (m != null && m.live()) {
        MembershipEffect.Send ping = ping(m.address(), host, false);
        probe = new Probe(ping.message().number(), host, nowMillis);
        effects.add(ping);
        return;
      }
    }
  }

  private void expireSuspicions(long nowMillis, List<MembershipEffect> effects) {
    for (String host : List.copyOf(suspicionDeadlineMillisByHost.keySet())) {
      Member m = table.get(host);
      if (m == null || m.status() != Status.SUSPECT) {
        suspicionDeadlineMillisByHost.remove(host);
      } else if (nowMillis >= suspicionDeadlineMillisByHost.get(host)) {
        applyUpdate(m.withStatus(Status.DEAD), nowMillis, effects);
      }
    }
  }

  private void expireRelays(long nowMillis, List<MembershipEffect> effects) {
    for (Relay r : List.copyOf(relays.values())) {
      if (nowMillis >= r.deadlineMillis()) {
        relays.values().remove(r);
        effects.add(reply(r.requester(), r.requestNumber(), false, null));
      }
    }
  }

  /**
   * Contacts a random seed or dead member whose address is not that of a live member, to find the
   * other side of a healed network partition. A member without live peers contacts all of them.
   */
  private void contactUnreachable(List<MembershipEffect> effects) {
    Set<String> unreachable = new HashSet<>(seeds);
    for (Member m : table.all()) {
      if (m.status() == Status.DEAD) {
        unreachable.add(m.address());
      }
    }
    boolean alone = true;
    for (Member m : table.live()) {
      unreachable.remove(m.address());
      alone = false;
    }
    List<String> addresses = new ArrayList<>(unreachable);
    Collections.sort(addresses);
    Collections.shuffle(addresses, random);
    int count = alone ? addresses.size() : Math.min(1, addresses.size());
    for (String a : addresses.subList(0, count)) {
      effects.add(ping(a, null, true));
    }
  }

  /** Processes a received message. */
  public List<MembershipEffect> receive(MembershipMessage message, long nowMillis) {
    List<MembershipEffect> effects = new ArrayList<>();
    Gossip g = message.gossip();
    merge(g.self(), nowMillis, effects);
    for (Member m : g.members()) {
      merge(m, nowMillis, effects);
    }
    String sender = g.self().host();
    if (message instanceof Ping p) {
      Gossip gossip = composeGossip(sender, null, g.full());
      effects.add(new MembershipEffect.Reply(sender, new Ack(p.number(), true, gossip)));
    } else if (message instanceof PingRequest r) {
      Member target = table.findLiveByAddress(r.targetAddress());
      String host = target == null ? null : target.host();
      MembershipEffect.Send ping = ping(r.targetAddress(), host, false);
      relays.put(
          ping.message().number(),
          new Relay(sender, r.number(), r.targetAddress(), nowMillis + RELAY_TIMEOUT_MILLIS));
      effects.add(ping);
    } else if (message instanceof Ack a) {
      receiveAck(a, nowMillis, effects);
    }
    if (!g.full() && g.digest() != table.digest(self) && nowMillis >= nextFullExchangeMillis) {
      nextFullExchangeMillis = nowMillis + FULL_EXCHANGE_INTERVAL_MILLIS;
      effects.add(ping(g.self().address(), sender, true));
    }
    return effects;
  }

  private void receiveAck(Ack ack, long nowMillis, List<MembershipEffect> effects) {
    String sender = ack.gossip().self().host();
    // The sender is checked too, because an acknowledgement may be matched to the wrong request.
    if (probe != null
        && ack.reached()
        && ack.number() == probe.pingNumber
        && probe.expectedSenders.contains(sender)) {
      probe = null;
    }
    Relay relay = relays.get(ack.number());
    if (relay != null && relay.targetAddress().equals(ack.gossip().self().address())) {
      relays.remove(ack.number());
      effects.add(reply(relay.requester(), relay.requestNumber(), true, sender));
    }
  }

  private MembershipEffect.Reply reply(
      String requester, long number, boolean reached, String target) {
    Gossip g = composeGossip(requester, target, false);
    return new MembershipEffect.Reply(requester, new Ack(number, reached, g));
  }

  private MembershipEffect.Send ping(String address, String host, boolean full) {
    return new MembershipEffect.Send(
        address, new Ping(++lastPingNumber, composeGossip(host, null, full)));
  }

  /**
   * Composes the gossip of a message. If the receiver is not alive in the table, its record comes
   * first, so that the receiver can refute it.
   *
   * @param receiver host of the receiver, or null if unknown
   * @param target host of the member that the message concerns, or null
   * @param full whether to include all records
   */
  private Gossip composeGossip(String receiver, String target, boolean full) {
    long digest = table.digest(self);
    if (full) {
      return new Gossip(self, List.copyOf(table.all()), true, digest);
    }
    Set<Member> members = new LinkedHashSet<>();
    Member r = receiver == null ? null : table.get(receiver);
    if (r != null && r.status() != Status.ALIVE) {
      members.add(r);
    }
    if (target != null && table.get(target) != null) {
      members.add(table.get(target));
    }
    int remainingBytes = MAX_GOSSIP_BYTES - self.encodedBytes();
    remainingBytes -= members.stream().mapToInt(Member::encodedBytes).sum();
    for (String host :
        broadcasts.next(remainingBytes, this::encodedBytes, table.live().size() + 1)) {
      Member m = table.get(host);
      if (m != null) {
        members.add(m);
      }
    }
    return new Gossip(self, List.copyOf(members), false, digest);
  }

  private int encodedBytes(String host) {
    Member m = table.get(host);
    return m == null ? 0 : m.encodedBytes();
  }

  private void merge(Member update, long nowMillis, List<MembershipEffect> effects) {
    if (update.host().equals(self.host())) {
      refute(update);
    } else {
      applyUpdate(update, nowMillis, effects);
    }
  }

  private void refute(Member update) {
    boolean mustRefute =
        update.counter() > self.counter()
            || update.counter() == self.counter() && update.status() != Status.ALIVE;
    if (self.status() == Status.ALIVE && update.boot() == self.boot() && mustRefute) {
      self = self.withCounter(update.counter() + 1);
    }
  }

  private void applyUpdate(Member update, long nowMillis, List<MembershipEffect> effects) {
    Member before = table.get(update.host());
    if (!table.merge(update, nowMillis)) {
      return;
    }
    Member after = table.get(update.host());
    broadcasts.add(after.host());
    if (after.status() != Status.SUSPECT) {
      suspicionDeadlineMillisByHost.remove(after.host());
    } else if (before == null || after.supersedes(before)) {
      suspicionDeadlineMillisByHost.put(after.host(), nowMillis + suspicionMillis());
    }
    effects.add(new MembershipEffect.Changed(before, after));
  }

  /**
   * Returns the time from the suspicion of a member to its death. It grows with the group size,
   * like the time that a suspicion and its refutation take to reach all members.
   */
  private long suspicionMillis() {
    double scale = Math.max(1, Math.log10(table.live().size() + 1.0));
    return Math.round(SUSPICION_MILLIS * scale);
  }
}
