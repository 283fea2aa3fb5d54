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
 * Failure detector and dissemination after SWIM (Das, Gupta, Motivala 2002) with suspicion, and
 * with retries of seeds and dead members so that a healed partition is noticed. The caller calls
 * {@link #tick} about every 100 ms, passes received messages in, and carries out the effects.
 */
public final class Membership {

  static final long PROBE_INTERVAL_MILLIS = 1000;
  static final long PROBE_TIMEOUT_MILLIS = 300;
  static final int INDIRECT_PROBES = 3;
  static final long RELAY_TIMEOUT_MILLIS = 600;
  static final long SUSPICION_MILLIS = 3000;
  static final long RETRY_INTERVAL_MILLIS = 2000;
  static final long FULL_EXCHANGE_INTERVAL_MILLIS = 30_000;

  /** A longer gap between ticks means that this process was frozen. */
  static final long STALL_MILLIS = 1000;

  /** Part of the 1,400 bytes of a message that membership records may use. */
  static final int MAX_GOSSIP_BYTES = 650;

  private static final int LEAVE_MESSAGES = 5;

  private final List<String> seeds;
  private final Random random;
  private final MemberTable table = new MemberTable();
  private final SpreadQueue queue = new SpreadQueue();
  private final Map<String, Long> suspicionEnds = new HashMap<>();
  private final Map<Long, Relay> relays = new HashMap<>();
  private final Deque<String> probeOrder = new ArrayDeque<>();
  private Member self;
  private Probe probe;
  private long lastNumber;
  private long lastTick;
  private long nextProbe;
  private long nextRetry;
  private long nextFullExchange;

  private static final class Probe {
    private final long number;
    private final String host;
    private final Set<String> accepted = new HashSet<>();
    private long startedAt;
    private boolean indirect;

    Probe(long number, String host, long startedAt) {
      this.number = number;
      this.host = host;
      this.startedAt = startedAt;
      accepted.add(host);
    }
  }

  private record Relay(String requester, long number, String targetAddress, long endsAt) {}

  /**
   * Creates the state of a member that knows only itself.
   *
   * @param self this member, alive
   * @param seeds addresses at which other members may be found
   */
  public Membership(Member self, List<String> seeds, long seed, long nowMillis) {
    checkArgument(self.status() == Status.ALIVE, "a member starts alive");
    this.self = self;
    this.seeds = seeds.stream().filter(s -> !s.equals(self.address())).distinct().toList();
    random = new JDKRandomBridge(RandomSource.XO_RO_SHI_RO_128_PP, seed);
    lastNumber = random.nextLong() >>> 2;
    lastTick = nowMillis;
    nextProbe = nowMillis + random.nextInt((int) PROBE_INTERVAL_MILLIS);
    nextRetry = nowMillis;
    nextFullExchange = nowMillis + random.nextInt((int) FULL_EXCHANGE_INTERVAL_MILLIS);
  }

  /** Returns this member. */
  public Member self() {
    return self;
  }

  /** Returns all known members with this one, dead and left ones included. */
  public List<Member> members() {
    List<Member> all = new ArrayList<>(table.all());
    all.add(self);
    return all;
  }

  /** Returns the live members other than this one. */
  public List<Member> livePeers() {
    return table.live();
  }

  /** Sets the boot number that the control group has issued. */
  public void identify(long boot) {
    if (boot > self.boot()) {
      self = self.withBoot(boot);
    }
  }

  /** Sets the revision of the configuration that this member serves from. */
  public void setConfigRevision(long revision) {
    if (revision > self.configRevision()) {
      self = self.withConfigRevision(revision);
    }
  }

  /** Leaves the group: tells some members and stops refuting. */
  public List<MembershipEffect> leave() {
    List<MembershipEffect> effects = new ArrayList<>();
    self = self.withStatus(Status.LEFT);
    List<Member> peers = table.live();
    Collections.shuffle(peers, random);
    for (Member m : peers.subList(0, Math.min(LEAVE_MESSAGES, peers.size()))) {
      effects.add(ping(m.address(), m.host(), false));
    }
    return effects;
  }

  /** Advances the time. */
  public List<MembershipEffect> tick(long now) {
    List<MembershipEffect> effects = new ArrayList<>();
    long gap = now - lastTick;
    lastTick = now;
    if (gap > STALL_MILLIS) {
      // Nothing was received meanwhile; silence of others during this time means nothing.
      suspicionEnds.replaceAll((host, end) -> end + gap);
      probe = null;
    }
    if (self.status() == Status.LEFT) {
      return effects;
    }
    checkProbe(now, effects);
    if (now >= nextProbe) {
      nextProbe = Math.max(nextProbe + PROBE_INTERVAL_MILLIS, now);
      startProbe(now, effects);
    }
    endSuspicions(now, effects);
    endRelays(now, effects);
    for (Member m : table.expire(now)) {
      queue.remove(m.host());
    }
    if (now >= nextRetry) {
      nextRetry = now + RETRY_INTERVAL_MILLIS;
      retryLost(effects);
    }
    return effects;
  }

  private void checkProbe(long now, List<MembershipEffect> effects) {
    if (probe == null) {
      return;
    }
    Member target = table.get(probe.host);
    if (target == null || !target.live()) {
      probe = null;
    } else if (now >= probe.startedAt + PROBE_INTERVAL_MILLIS) {
      probe = null;
      if (target.status() == Status.ALIVE) {
        change(target.withStatus(Status.SUSPECT), now, effects);
      }
    } else if (!probe.indirect && now >= probe.startedAt + PROBE_TIMEOUT_MILLIS) {
      probe.indirect = true;
      List<Member> helpers = table.live();
      helpers.remove(target);
      Collections.shuffle(helpers, random);
      for (Member m : helpers.subList(0, Math.min(INDIRECT_PROBES, helpers.size()))) {
        probe.accepted.add(m.host());
        Gossip g = compose(m.host(), target.host(), false);
        effects.add(
            new MembershipEffect.Send(
                m.address(), new PingRequest(probe.number, target.address(), g)));
      }
    }
  }

  private void startProbe(long now, List<MembershipEffect> effects) {
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
        probe = new Probe(ping.message().number(), host, now);
        effects.add(ping);
        return;
      }
    }
  }

  private void endSuspicions(long now, List<MembershipEffect> effects) {
    for (String host : List.copyOf(suspicionEnds.keySet())) {
      Member m = table.get(host);
      if (m == null || m.status() != Status.SUSPECT) {
        suspicionEnds.remove(host);
      } else if (now >= suspicionEnds.get(host)) {
        change(m.withStatus(Status.DEAD), now, effects);
      }
    }
  }

  private void endRelays(long now, List<MembershipEffect> effects) {
    for (Relay r : List.copyOf(relays.values())) {
      if (now >= r.endsAt()) {
        relays.values().remove(r);
        effects.add(reply(r.requester(), r.number(), false, null));
      }
    }
  }

  /** Contacts a seed or dead member that is not live, to find the other side of a partition. */
  private void retryLost(List<MembershipEffect> effects) {
    Set<String> lost = new HashSet<>(seeds);
    for (Member m : table.all()) {
      if (m.status() == Status.DEAD) {
        lost.add(m.address());
      }
    }
    boolean alone = true;
    for (Member m : table.live()) {
      lost.remove(m.address());
      alone = false;
    }
    List<String> addresses = new ArrayList<>(lost);
    Collections.sort(addresses);
    Collections.shuffle(addresses, random);
    int count = alone ? addresses.size() : Math.min(1, addresses.size());
    for (String a : addresses.subList(0, count)) {
      effects.add(ping(a, null, true));
    }
  }

  /** Handles a received message. */
  public List<MembershipEffect> receive(MembershipMessage message, long now) {
    List<MembershipEffect> effects = new ArrayList<>();
    Gossip g = message.gossip();
    merge(g.self(), now, effects);
    for (Member m : g.members()) {
      merge(m, now, effects);
    }
    String sender = g.self().host();
    if (message instanceof Ping p) {
      Gossip gossip = compose(sender, null, g.full());
      effects.add(new MembershipEffect.Reply(sender, new Ack(p.number(), true, gossip)));
    } else if (message instanceof PingRequest r) {
      Member target = table.atAddress(r.targetAddress());
      String host = target == null ? null : target.host();
      MembershipEffect.Send ping = ping(r.targetAddress(), host, false);
      relays.put(
          ping.message().number(),
          new Relay(sender, r.number(), r.targetAddress(), now + RELAY_TIMEOUT_MILLIS));
      effects.add(ping);
    } else if (message instanceof Ack a) {
      receiveAck(a, now, effects);
    }
    if (!g.full() && g.digest() != table.digest(self) && now >= nextFullExchange) {
      nextFullExchange = now + FULL_EXCHANGE_INTERVAL_MILLIS;
      effects.add(ping(g.self().address(), sender, true));
    }
    return effects;
  }

  private void receiveAck(Ack ack, long now, List<MembershipEffect> effects) {
    String sender = ack.gossip().self().host();
    // The sender is compared too: an acknowledgement may be delivered to the wrong request.
    if (probe != null
        && ack.reached()
        && ack.number() == probe.number
        && probe.accepted.contains(sender)) {
      probe = null;
    }
    Relay relay = relays.get(ack.number());
    if (relay != null && relay.targetAddress().equals(ack.gossip().self().address())) {
      relays.remove(ack.number());
      effects.add(reply(relay.requester(), relay.number(), true, sender));
    }
  }

  private MembershipEffect.Reply reply(
      String requester, long number, boolean reached, String target) {
    Gossip g = compose(requester, target, false);
    return new MembershipEffect.Reply(requester, new Ack(number, reached, g));
  }

  private MembershipEffect.Send ping(String address, String host, boolean full) {
    return new MembershipEffect.Send(address, new Ping(++lastNumber, compose(host, null, full)));
  }

  /**
   * Composes the gossip of a message. A receiver that is not alive here is told so first, so that
   * it can refute; {@code target} is a member that the message is about, or null.
   */
  private Gossip compose(String receiver, String target, boolean full) {
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
    int left = MAX_GOSSIP_BYTES - self.encodedBytes();
    left -= members.stream().mapToInt(Member::encodedBytes).sum();
    for (String host : queue.next(left, this::encodedBytes, table.live().size() + 1)) {
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

  private void merge(Member update, long now, List<MembershipEffect> effects) {
    if (update.host().equals(self.host())) {
      refute(update);
    } else {
      change(update, now, effects);
    }
  }

  private void refute(Member update) {
    boolean contradicts =
        update.counter() > self.counter()
            || update.counter() == self.counter() && update.status() != Status.ALIVE;
    if (self.status() == Status.ALIVE && update.boot() == self.boot() && contradicts) {
      self = self.withCounter(update.counter() + 1);
    }
  }

  private void change(Member update, long now, List<MembershipEffect> effects) {
    Member before = table.get(update.host());
    if (!table.merge(update, now)) {
      return;
    }
    Member after = table.get(update.host());
    queue.add(after.host());
    if (after.status() != Status.SUSPECT) {
      suspicionEnds.remove(after.host());
    } else if (before == null || after.supersedes(before)) {
      suspicionEnds.put(after.host(), now + suspicionMillis());
    }
    effects.add(new MembershipEffect.Changed(before, after));
  }

  /** Grows with the time that a suspicion and its refutation need to reach everyone. */
  private long suspicionMillis() {
    double scale = Math.max(1, Math.log10(table.live().size() + 1.0));
    return Math.round(SUSPICION_MILLIS * scale);
  }
}
