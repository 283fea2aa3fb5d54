package org.goldcrestfall.daemon.control;

import com.google.common.collect.ImmutableList;
import com.google.common.flogger.FluentLogger;
import java.io.IOException;
import java.util.HashSet;
import java.util.LinkedHashSet;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.concurrent.ScheduledThreadPoolExecutor;
import java.util.concurrent.TimeUnit;
import org.goldcrestfall.core.consensus.Member;
import org.goldcrestfall.wire.PeerTransport;
import org.goldcrestfall.wire.generated.Body;
import org.goldcrestfall.wire.generated.JoinReply;
import org.goldcrestfall.wire.generated.JoinRequest;

/**
 * Brings a member without state into its group. It asks all others to be added as a learner. The
 * founder, the first of the founding hosts, forms a new group instead if all of them answer that
 * they have no state either; so a host whose disk was lost cannot form a second group. A member of
 * an open group that has no leader asks too, because it may have been removed while it was away.
 */
final class Formation {

  private static final FluentLogger logger = FluentLogger.forEnclosingClass();
  private static final long ROUND_MILLIS = 300;

  private final ControlGroup group;
  private final ControlSettings settings;
  private final PeerTransport transport;
  private final ScheduledThreadPoolExecutor executor;

  /** The founding hosts that have answered that they have no state, by address. */
  private final Map<String, Member> empty = new TreeMap<>();

  private final Set<String> asked = new HashSet<>();
  private boolean hadLeader = true;

  Formation(ControlGroup group, ControlSettings settings, PeerTransport transport) {
    this.group = group;
    this.settings = settings;
    this.transport = transport;
    executor = group.executor();
  }

  void start() {
    executor.scheduleWithFixedDelay(this::askIfNeeded, 0, ROUND_MILLIS, TimeUnit.MILLISECONDS);
  }

  private void askIfNeeded() {
    // Also later: the entry that added the member may have been overwritten by another leader.
    boolean member = group.status().members().find(group.identity().id()).isPresent();
    boolean hasLeader = !group.status().leaderAddress().isEmpty();
    if (!member || settings.policy().open() && !hasLeader && !hadLeader) {
      askOthers();
    }
    hadLeader = hasLeader;
  }

  private void askOthers() {
    empty.clear();
    empty.put(settings.address(), self());
    Set<String> addresses = new LinkedHashSet<>(settings.contacts().get());
    addresses.addAll(settings.members().values());
    group.status().members().all().forEach(m -> addresses.add(m.address()));
    asked.clear();
    asked.add(settings.address());
    addresses.forEach(this::ask);
    maybeForm();
  }

  /** Asks one host, at most once in a round. */
  private void ask(String address) {
    if (!asked.add(address)) {
      return;
    }
    JoinRequest request =
        JoinRequest.newBuilder()
            .setHost(settings.host())
            .setAddress(settings.address())
            .setMember(group.identity().id())
            .build();
    transport
        .call(address, Body.newBuilder().setJoinRequest(request).build(), ROUND_MILLIS)
        .thenAcceptAsync(body -> answered(address, body.getJoinReply()), executor);
  }

  private Member self() {
    return new Member(group.identity().id(), settings.host(), settings.address(), true);
  }

  private void answered(String address, JoinReply reply) {
    String host = ControlGroup.hostOf(reply.getMember());
    group.learnAddress(reply.getMember(), address);
    // Only the leader can add a member, and it need not be among the hosts that this one knows.
    if (!reply.getLeaderHint().isEmpty()) {
      ask(reply.getLeaderHint());
    }
    boolean expected =
        settings.policy().open() || address.equals(settings.members().getOrDefault(host, ""));
    if (!reply.getFormed() && expected) {
      empty.put(address, new Member(reply.getMember(), host, address, true));
      maybeForm();
    }
  }

  private void maybeForm() {
    if (!settings.isFounder()
        || group.identity().rejoins()
        || !group.status().members().all().isEmpty()
        || !empty.keySet().containsAll(settings.members().values())) {
      return;
    }
    ImmutableList<Member> members =
        settings.members().values().stream()
            .map(empty::get)
            .collect(ImmutableList.toImmutableList());
    try {
      group.form(members);
    } catch (IOException e) {
      logger.atSevere().withCause(e).log("consensus: the new group could not be written to disk");
    }
  }
}
