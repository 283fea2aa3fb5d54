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
final class GroupJoiner {

  private static final FluentLogger logger = FluentLogger.forEnclosingClass();
  private static final long ATTEMPT_INTERVAL_MILLIS = 300;

  private final ControlGroup group;
  private final ControlSettings settings;
  private final PeerTransport transport;
  private final ScheduledThreadPoolExecutor executor;

  /** The founding hosts that have answered that they have no state, by address. */
  private final Map<String, Member> foundersWithoutState = new TreeMap<>();

  private final Set<String> contactedAddresses = new HashSet<>();
  private boolean hadLeader = true;

  GroupJoiner(ControlGroup group, ControlSettings settings, PeerTransport transport) {
    this.group = group;
    this.settings = settings;
    this.transport = transport;
    executor = group.executor();
  }

  void start() {
    executor.scheduleWithFixedDelay(this::joinIfNeeded, 0, ATTEMPT_INTERVAL_MILLIS, TimeUnit.MILLISECONDS);
  }

  private void joinIfNeeded() {
    // Also later: the entry that added the member may have been overwritten by another leader.
    boolean member = group.status().members().find(group.identity().id()).isPresent();
    boolean hasLeader = !group.status().leaderAddress().isEmpty();
    if (!member || settings.policy().open() && !hasLeader && !hadLeader) {
      requestJoin();
    }
    hadLeader = hasLeader;
  }

  private void requestJoin() {
    foundersWithoutState.clear();
    foundersWithoutState.put(settings.address(), self());
    Set<String> addresses = new LinkedHashSet<>(settings.joinAddresses().get());
    addresses.addAll(settings.members().values());
    group.status().members().all().forEach(m -> addresses.add(m.address()));
    contactedAddresses.clear();
    contactedAddresses.add(settings.address());
    addresses.forEach(this::sendJoinRequest);
    formGroupIfPossible();
  }

  /** Asks one host, at most once in a round. */
  private void sendJoinRequest(String address) {
    if (!contactedAddresses.add(address)) {
      return;
    }
    JoinRequest request =
        JoinRequest.newBuilder()
            .setHost(settings.host())
            .setAddress(settings.address())
            .setMember(group.identity().id())
            .build();
    transport
        .call(address, Body.newBuilder().setJoinRequest(request).build(), ATTEMPT_INTERVAL_MILLIS)
        .thenAcceptAsync(body -> onJoinReply(address, body.getJoinReply()), executor);
  }

  private Member self() {
    return new Member(group.identity().id(), settings.host(), settings.address(), true);
  }

  private void onJoinReply(String address, JoinReply reply) {
    String host = ControlGroup.hostOf(reply.getMember());
    group.learnAddress(reply.getMember(), address);
    // Only the leader can add a member, and it need not be among the hosts that this one knows.
    if (!reply.getLeaderHint().isEmpty()) {
      sendJoinRequest(reply.getLeaderHint());
    }
    boolean expected =
        settings.policy().open() || address.equals(settings.members().getOrDefault(host, ""));
    if (!reply.getFormed() && expected) {
      foundersWithoutState.put(address, new Member(reply.getMember(), host, address, true));
      formGroupIfPossible();
    }
  }

  private void formGroupIfPossible() {
    if (!settings.isFounder()
        || group.identity().rejoins()
        || !group.status().members().all().isEmpty()
        || !foundersWithoutState.keySet().containsAll(settings.members().values())) {
      return;
    }
    ImmutableList<Member> members =
        settings.members().values().stream()
            .map(foundersWithoutState::get)
            .collect(ImmutableList.toImmutableList());
    try {
      group.formGroup(members);
    } catch (IOException e) {
      logger.atSevere().withCause(e).log("consensus: the new group could not be written to disk");
    }
  }
}
