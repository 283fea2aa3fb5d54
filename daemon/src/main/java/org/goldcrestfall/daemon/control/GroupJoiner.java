package org.goldcrestfall.daemon.control;

import com.google.common.collect.ImmutableList;
import com.google.common.flogger.FluentLogger;
import java.io.IOException;
import java.util.HashSet;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.concurrent.ScheduledThreadPoolExecutor;
import java.util.concurrent.TimeUnit;
import org.goldcrestfall.core.consensus.Event;
import org.goldcrestfall.core.consensus.Member;
import org.goldcrestfall.core.consensus.Role;
import org.goldcrestfall.daemon.PeriodicTasks;
import org.goldcrestfall.wire.PeerTransport;
import org.goldcrestfall.wire.generated.Body;
import org.goldcrestfall.wire.generated.JoinReply;
import org.goldcrestfall.wire.generated.JoinRequest;

/**
 * Adds a member to its group. A member without state repeatedly sends join requests to all known
 * hosts until the leader has added it as a learner. The founder, which is the first host of {@link
 * ControlSettings#members}, forms a new group instead once all these hosts have answered that they
 * have no state either, so that a host whose disk was lost cannot form a second group. A member
 * that knows no leader sends join requests too, because it may not be in the member list any more:
 * another leader may have overwritten the entry that added it, or it was removed from an open group
 * while it was unreachable. A leader sends them now and then: a host that has lost its disk may
 * know no present member, and asks those from which it has received a request.
 */
final class GroupJoiner {

  private static final FluentLogger logger = FluentLogger.forEnclosingClass();

  /** The interval between checks and attempts, and the timeout of each join request. */
  private static final long ATTEMPT_INTERVAL_MILLIS = 300;

  private static final int CHECKS_BETWEEN_LEADER_REQUESTS = 10;

  private static final int LOST_DISK_LOG_SECONDS = 1;

  private final ControlReplica replica;
  private final ControlSettings settings;
  private final PeerTransport transport;
  private final ScheduledThreadPoolExecutor executor;

  /** The hosts without state by address: this one and those that reported it in this attempt. */
  private final Map<String, Member> membersWithoutState = new TreeMap<>();

  private int checks;

  /** This host's address and those that were sent a join request in the current attempt. */
  private final Set<String> contactedAddresses = new HashSet<>();

  /** Whether a leader was known at the last check; two checks without a leader start an attempt. */
  private boolean hadLeader = true;

  GroupJoiner(ControlReplica replica, ControlSettings settings, PeerTransport transport) {
    this.replica = replica;
    this.settings = settings;
    this.transport = transport;
    executor = replica.executor();
  }

  void start() {
    PeriodicTasks.schedule(executor, 0, ATTEMPT_INTERVAL_MILLIS, this::joinIfNeeded);
  }

  private void joinIfNeeded() {
    if (replica.isLeaving()) {
      return;
    }
    boolean member = replica.status().members().find(replica.identity().id()).isPresent();
    boolean hasLeader = !replica.status().leaderAddress().isEmpty();
    boolean leads = replica.status().role() == Role.LEADER;
    checks++;
    if (!member
        || !hasLeader && !hadLeader
        || leads && checks % CHECKS_BETWEEN_LEADER_REQUESTS == 0) {
      requestJoin();
    }
    hadLeader = hasLeader;
  }

  private void requestJoin() {
    membersWithoutState.clear();
    membersWithoutState.put(settings.address(), self());
    Set<String> addresses = new LinkedHashSet<>(settings.joinAddresses().get());
    addresses.addAll(replica.askingAddresses());
    addresses.addAll(settings.members().values());
    replica.decidingMembers().forEach(m -> addresses.add(m.address()));
    contactedAddresses.clear();
    contactedAddresses.add(settings.address());
    addresses.forEach(this::sendJoinRequest);
    formGroupIfPossible();
  }

  /** Sends a join request to an address unless it was sent one in the current attempt. */
  private void sendJoinRequest(String address) {
    if (!contactedAddresses.add(address)) {
      return;
    }
    List<Member> expected =
        replica.decidingMembers().stream()
            .filter(m -> m.voter() && m.address().equals(address))
            .toList();
    JoinRequest request =
        JoinRequest.newBuilder()
            .setHost(settings.host())
            .setAddress(settings.address())
            .setMember(replica.identity().id())
            .build();
    transport
        .call(address, Body.newBuilder().setJoinRequest(request).build(), ATTEMPT_INTERVAL_MILLIS)
        .thenAcceptAsync(
            body -> {
              reportLostDisks(expected, body.getJoinReply().getMember());
              onJoinReply(address, body.getJoinReply());
            },
            executor);
  }

  /**
   * Reports the voters of a host that lost their disks, because a process that answered at their
   * address runs under another id of this host.
   *
   * @param expected the voters at the address when the request was sent; a voter that this member
   *     has learned of since then may be newer than the reply
   */
  private void reportLostDisks(List<Member> expected, String answeredBy) {
    for (Member m : expected) {
      if (m.host().equals(ControlReplica.hostOf(answeredBy)) && !m.id().equals(answeredBy)) {
        logger.atInfo().atMostEvery(LOST_DISK_LOG_SECONDS, TimeUnit.SECONDS).log(
            "consensus: voter %s has lost its disk, as %s answered at %s",
            m.id(), answeredBy, m.address());
        replica.post(new Event.DiskLost(m.id()));
      }
    }
  }

  private Member self() {
    return new Member(replica.identity().id(), settings.host(), settings.address(), true);
  }

  private void onJoinReply(String address, JoinReply reply) {
    String host = ControlReplica.hostOf(reply.getMember());
    replica.learnAddress(reply.getMember(), address);
    // Only the leader can add a member, and this host may not have known its address.
    if (!reply.getLeaderHint().isEmpty()) {
      sendJoinRequest(reply.getLeaderHint());
    }
    boolean expected =
        settings.policy().openMembership()
            || address.equals(settings.members().getOrDefault(host, ""));
    if (!reply.getFormed() && expected) {
      membersWithoutState.put(address, new Member(reply.getMember(), host, address, true));
      formGroupIfPossible();
    }
  }

  private void formGroupIfPossible() {
    if (!settings.isFounder()
        || replica.identity().rejoins()
        || !replica.status().members().all().isEmpty()
        || !membersWithoutState.keySet().containsAll(settings.members().values())) {
      return;
    }
    ImmutableList<Member> members =
        settings.members().values().stream()
            .map(membersWithoutState::get)
            .collect(ImmutableList.toImmutableList());
    try {
      replica.formGroup(members);
    } catch (IOException e) {
      logger.atSevere().withCause(e).log(
          "consensus: could not write the initial snapshot of the new group");
    }
  }
}
