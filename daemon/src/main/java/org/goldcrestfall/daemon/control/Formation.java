package org.goldcrestfall.daemon.control;

import com.google.common.collect.ImmutableList;
import com.google.common.flogger.FluentLogger;
import java.io.IOException;
import java.util.Map;
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
 * founder, the first host by name, forms a new group instead if all others answer that they have no
 * state either; so a host whose disk was lost cannot form a second group.
 */
final class Formation {

  private static final FluentLogger logger = FluentLogger.forEnclosingClass();
  private static final long ROUND_MILLIS = 300;

  private final ControlGroup group;
  private final ControlSettings settings;
  private final PeerTransport transport;
  private final ScheduledThreadPoolExecutor executor;
  private final Map<String, String> empty = new TreeMap<>();

  Formation(ControlGroup group, ControlSettings settings, PeerTransport transport) {
    this.group = group;
    this.settings = settings;
    this.transport = transport;
    executor = group.executor();
  }

  void start() {
    executor.scheduleWithFixedDelay(this::ask, 0, ROUND_MILLIS, TimeUnit.MILLISECONDS);
  }

  private void ask() {
    // Also later: the entry that added the member may have been overwritten by another leader.
    if (group.status().members().find(group.identity().id()).isEmpty()) {
      askOthers();
    }
  }

  private void askOthers() {
    empty.clear();
    empty.put(settings.host(), group.identity().id());
    JoinRequest request =
        JoinRequest.newBuilder()
            .setHost(settings.host())
            .setAddress(settings.address())
            .setMember(group.identity().id())
            .build();
    settings
        .members()
        .forEach(
            (host, address) -> {
              if (!host.equals(settings.host())) {
                transport
                    .call(address, Body.newBuilder().setJoinRequest(request).build(), ROUND_MILLIS)
                    .thenAcceptAsync(body -> answered(host, body.getJoinReply()), executor);
              }
            });
    maybeForm();
  }

  private void answered(String host, JoinReply reply) {
    if (!reply.getFormed() && ControlGroup.hostOf(reply.getMember()).equals(host)) {
      empty.put(host, reply.getMember());
      maybeForm();
    }
  }

  private void maybeForm() {
    if (!settings.isFounder()
        || group.identity().rejoins()
        || !group.status().members().all().isEmpty()
        || !empty.keySet().containsAll(settings.members().keySet())) {
      return;
    }
    ImmutableList<Member> members =
        empty.entrySet().stream()
            .map(
                e -> new Member(e.getValue(), e.getKey(), settings.members().get(e.getKey()), true))
            .collect(ImmutableList.toImmutableList());
    try {
      group.form(members);
    } catch (IOException e) {
      logger.atSevere().withCause(e).log("consensus: the new group could not be written to disk");
    }
  }
}
