package org.goldcrestfall.core.config;

import static com.google.common.base.Preconditions.checkArgument;

import java.util.ArrayList;
import java.util.Collections;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.Set;
import org.apache.commons.rng.simple.JDKRandomBridge;
import org.apache.commons.rng.simple.RandomSource;
import org.goldcrestfall.core.control.ConfigChange;
import org.goldcrestfall.core.control.ConfigView;

/**
 * Keeps the configuration of a router up to date. It polls the control members in turn, one each
 * second, and any daemon that is known to have a newer revision. Only newer revisions are applied,
 * so a stale control member cannot revert the configuration.
 *
 * <p>A revision counts as confirmed once a majority of the control members has answered: an
 * accepted change is in the logs of a majority, so at least one of them has it, whereas a single
 * control member may be isolated and stale. The time of the confirmation is the time at which the
 * oldest request to this majority was sent. A router that reaches no control member adopts the
 * confirmation of a peer, with its age taken into account.
 *
 * <p>Times are in milliseconds on the clock of the caller.
 */
public final class ConfigFollower {

  static final long POLL_INTERVAL_MILLIS = 1000;
  static final long REQUEST_TIMEOUT_MILLIS = 1000;

  /** Age of the last confirmation at which the router starts to poll peers as well. */
  static final long POLL_PEERS_AFTER_MILLIS = 4000;

  /** Age of the last confirmation above which operators are warned. */
  public static final long MAX_CONFIRMATION_AGE_MILLIS = 11_000;

  private static final long NEVER = Long.MIN_VALUE / 2;

  private final ConfigLog log;
  private final String self;

  /**
   * For each control member, the sending time of the latest request whose answer brought this
   * daemon at least to the revision of the member.
   */
  private final Map<String, Long> confirmedAtByMember = new LinkedHashMap<>();

  private final Map<String, Long> requestedAt = new HashMap<>();
  private final Map<Long, PendingRequest> pendingRequests = new HashMap<>();

  /** The revisions of daemons that are known to be ahead of this one, by address. */
  private final Map<String, Long> newerRevisions = new LinkedHashMap<>();

  private final Set<String> peers = new LinkedHashSet<>();
  private final Random random;
  private final long startedAt;
  private long lastRequestId;
  private long nextPollAt;
  private long confirmedAtByPeers = NEVER;

  private record PendingRequest(String address, long sentAtMillis) {}

  /**
   * Creates the state of a router at its start.
   *
   * @param self address of this daemon
   * @param controlMembers addresses of all control members
   * @param persisted the view that was stored before the restart, or {@link ConfigView#EMPTY}
   */
  public ConfigFollower(
      String self, List<String> controlMembers, ConfigView persisted, long seed, long nowMillis) {
    this.self = self;
    log = new ConfigLog(persisted);
    random = new JDKRandomBridge(RandomSource.XO_RO_SHI_RO_128_PP, seed);
    lastRequestId = random.nextLong() >>> 2;
    startedAt = nowMillis;
    nextPollAt = nowMillis;
    List<String> order = new ArrayList<>(controlMembers);
    Collections.shuffle(order, random);
    order.forEach(a -> confirmedAtByMember.put(a, NEVER));
    checkArgument(
        confirmedAtByMember.size() == controlMembers.size(), "control members must be distinct");
  }

  /** Returns the configuration to serve from. */
  public ConfigView view() {
    return log.view();
  }

  /** Returns whether the revision was confirmed after the start. */
  public boolean confirmed() {
    return confirmedAt() >= startedAt;
  }

  /**
   * Returns the time since the last confirmation, or since the start if there was none after it.
   */
  public long confirmationAgeMillis(long nowMillis) {
    return nowMillis - Math.max(confirmedAt(), startedAt);
  }

  private long confirmedAt() {
    List<Long> times = new ArrayList<>(confirmedAtByMember.values());
    times.sort((a, b) -> Long.compare(b, a));
    long confirmedAtByMajority = times.isEmpty() ? NEVER : times.get(times.size() / 2);
    return Math.max(confirmedAtByMajority, confirmedAtByPeers);
  }

  /** Replaces the addresses of the live peers that can be polled. */
  public void setPeers(Set<String> addresses) {
    peers.clear();
    peers.addAll(addresses);
    peers.remove(self);
    newerRevisions
        .keySet()
        .removeIf(a -> !peers.contains(a) && !confirmedAtByMember.containsKey(a));
  }

  /** Advances the time and returns the requests that are due. */
  public List<ConfigEffect> tick(long nowMillis) {
    List<ConfigEffect> effects = new ArrayList<>();
    pendingRequests
        .values()
        .removeIf(request -> nowMillis - request.sentAtMillis() >= REQUEST_TIMEOUT_MILLIS);
    if (nowMillis >= nextPollAt) {
      nextPollAt = nowMillis + POLL_INTERVAL_MILLIS;
      pollControlMember(nowMillis, effects);
      if (confirmationAgeMillis(nowMillis) >= POLL_PEERS_AFTER_MILLIS || !confirmed()) {
        pollPeer(nowMillis, effects);
      }
    }
    pollNewerDaemon(nowMillis, effects);
    return effects;
  }

  /** Handles the news that the daemon at {@code address} has {@code revision}. */
  public List<ConfigEffect> onNewerRevision(String address, long revision, long nowMillis) {
    List<ConfigEffect> effects = new ArrayList<>();
    if (revision > view().revision() && !address.equals(self)) {
      newerRevisions.merge(address, revision, Math::max);
      pollNewerDaemon(nowMillis, effects);
    }
    return effects;
  }

  /** Applies the state of the control member in this process, which needs no request. */
  public List<ConfigEffect> onLocalUpdate(ConfigUpdate update, long nowMillis) {
    List<ConfigEffect> effects = new ArrayList<>();
    if (apply(update, effects) && confirmedAtByMember.containsKey(self)) {
      confirmedAtByMember.put(self, nowMillis);
    }
    return effects;
  }

  /**
   * Handles the update that answers a request. Its content is applied in any case, but it counts
   * towards a confirmation only if it arrives in time and matches a pending request.
   */
  public List<ConfigEffect> onUpdate(ConfigUpdate update, long nowMillis) {
    List<ConfigEffect> effects = new ArrayList<>();
    final boolean complete = apply(update, effects);
    PendingRequest request = pendingRequests.remove(update.id());
    if (request != null && nowMillis - request.sentAtMillis() > REQUEST_TIMEOUT_MILLIS) {
      request = null;
    }
    if (request == null) {
      return effects;
    }
    newerRevisions.remove(request.address());
    if (!complete) {
      return effects;
    }
    if (confirmedAtByMember.containsKey(request.address())) {
      confirmedAtByMember.merge(request.address(), request.sentAtMillis(), Math::max);
    }
    if (update.confirmed()) {
      long peerConfirmedAt = request.sentAtMillis() - Math.max(0, update.confirmedAgeMillis());
      confirmedAtByPeers = Math.max(confirmedAtByPeers, peerConfirmedAt);
    }
    return effects;
  }

  /**
   * Handles the failure of a request. If it was sent to a control member, another control member is
   * polled without waiting for the next interval.
   */
  public List<ConfigEffect> onRequestFailed(long id, long nowMillis) {
    List<ConfigEffect> effects = new ArrayList<>();
    PendingRequest request = pendingRequests.remove(id);
    if (request == null) {
      return effects;
    }
    newerRevisions.remove(request.address());
    if (confirmedAtByMember.containsKey(request.address())) {
      pollControlMember(nowMillis, effects);
    }
    return effects;
  }

  /** Returns the update that answers request {@code id} of a daemon that has {@code revision}. */
  public ConfigUpdate updateFor(long id, long revision, long nowMillis) {
    List<ConfigChange> changes = log.changesAfter(revision);
    boolean needsView = changes == null;
    return new ConfigUpdate(
        id,
        view().revision(),
        needsView ? List.of() : changes,
        needsView ? view() : null,
        confirmed(),
        confirmationAgeMillis(nowMillis));
  }

  /**
   * Applies an update; returns whether this daemon then has at least the revision of the sender.
   */
  private boolean apply(ConfigUpdate update, List<ConfigEffect> effects) {
    boolean changed = update.view() != null && log.replace(update.view());
    for (ConfigChange c : update.changes()) {
      if (c.revision() > view().revision() && c.previousRevision() > view().revision()) {
        // Changes before this one are missing; the next request asks for them by the current
        // revision.
        break;
      }
      changed |= log.apply(c);
    }
    if (changed) {
      newerRevisions.values().removeIf(r -> r <= view().revision());
      effects.add(new ConfigEffect.Changed(view()));
    }
    return view().revision() >= update.revision();
  }

  /** Polls the control member whose last request was sent longest ago, if one is due. */
  private void pollControlMember(long nowMillis, List<ConfigEffect> effects) {
    String next = null;
    for (String a : confirmedAtByMember.keySet()) {
      boolean isDue = nowMillis - requestedAt.getOrDefault(a, NEVER) >= POLL_INTERVAL_MILLIS;
      if (!a.equals(self) && isDue && (next == null || wasRequestedBefore(a, next))) {
        next = a;
      }
    }
    if (next != null) {
      sendRequest(next, nowMillis, effects);
    }
  }

  private boolean wasRequestedBefore(String a, String b) {
    return requestedAt.getOrDefault(a, NEVER) < requestedAt.getOrDefault(b, NEVER);
  }

  private void pollPeer(long nowMillis, List<ConfigEffect> effects) {
    List<String> candidates = new ArrayList<>(peers);
    candidates.removeAll(confirmedAtByMember.keySet());
    if (!candidates.isEmpty()) {
      sendRequest(candidates.get(random.nextInt(candidates.size())), nowMillis, effects);
    }
  }

  private void pollNewerDaemon(long nowMillis, List<ConfigEffect> effects) {
    if (newerRevisions.isEmpty()) {
      return;
    }
    for (PendingRequest request : pendingRequests.values()) {
      if (newerRevisions.containsKey(request.address())) {
        return;
      }
    }
    List<String> candidates = new ArrayList<>(newerRevisions.keySet());
    sendRequest(candidates.get(random.nextInt(candidates.size())), nowMillis, effects);
  }

  private void sendRequest(String address, long nowMillis, List<ConfigEffect> effects) {
    requestedAt.put(address, nowMillis);
    pendingRequests.put(++lastRequestId, new PendingRequest(address, nowMillis));
    effects.add(new ConfigEffect.RequestUpdate(lastRequestId, address, view().revision()));
  }
}
