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
 * Keeps the configuration of a router up to date. It asks the control members in turn, every second
 * one, and any peer that is known to have a newer revision. Only newer revisions are taken in, so a
 * stale control member cannot turn the configuration back.
 *
 * <p>A revision counts as checked once a majority of the control members has answered: an accepted
 * change is in the logs of a majority, so one of them has it, whereas a single control member may
 * be isolated and stale. The check has the time at which the oldest of these questions was sent. A
 * router that reaches no control member takes over the check of a peer, less its age.
 */
public final class ConfigFollower {

  static final long POLL_INTERVAL_MILLIS = 1000;
  static final long ASK_TIMEOUT_MILLIS = 1000;

  /** Age of the last check from which on peers are asked too. */
  static final long ASK_PEERS_AFTER_MILLIS = 4000;

  /** Age of the last check that operators are warned about. */
  public static final long MAX_CHECK_AGE_MILLIS = 11_000;

  private static final long NEVER = Long.MIN_VALUE / 2;

  private final ConfigLog log;
  private final String self;
  private final Map<String, Long> checkedAt = new LinkedHashMap<>();
  private final Map<String, Long> askedAt = new HashMap<>();
  private final Map<Long, Question> questions = new HashMap<>();
  private final Map<String, Long> newer = new LinkedHashMap<>();
  private final Set<String> peers = new LinkedHashSet<>();
  private final Random random;
  private final long startedAt;
  private long lastId;
  private long nextPoll;
  private long relayedCheckAt = NEVER;

  private record Question(String address, long atMillis) {}

  /**
   * Creates the state of a router that has started.
   *
   * @param self address of this daemon
   * @param controlMembers addresses of all control members
   * @param persisted the view from before the restart, or {@link ConfigView#EMPTY}
   */
  public ConfigFollower(
      String self, List<String> controlMembers, ConfigView persisted, long seed, long nowMillis) {
    this.self = self;
    log = new ConfigLog(persisted);
    random = new JDKRandomBridge(RandomSource.XO_RO_SHI_RO_128_PP, seed);
    lastId = random.nextLong() >>> 2;
    startedAt = nowMillis;
    nextPoll = nowMillis;
    List<String> order = new ArrayList<>(controlMembers);
    Collections.shuffle(order, random);
    order.forEach(a -> checkedAt.put(a, NEVER));
    checkArgument(checkedAt.size() == controlMembers.size(), "control members must be distinct");
  }

  /** Returns the configuration to serve from. */
  public ConfigView view() {
    return log.view();
  }

  /** Returns whether the revision was checked at a time after the start. */
  public boolean confirmed() {
    return confirmedAt() >= startedAt;
  }

  /** Returns the time since the last check of the revision, or since the start without one. */
  public long checkAgeMillis(long now) {
    return now - Math.max(confirmedAt(), startedAt);
  }

  private long confirmedAt() {
    List<Long> times = new ArrayList<>(checkedAt.values());
    times.sort((a, b) -> Long.compare(b, a));
    long majority = times.isEmpty() ? NEVER : times.get(times.size() / 2);
    return Math.max(majority, relayedCheckAt);
  }

  /** Replaces the addresses of live peers that can be asked. */
  public void setPeers(Set<String> addresses) {
    peers.clear();
    peers.addAll(addresses);
    peers.remove(self);
    newer.keySet().removeIf(a -> !peers.contains(a) && !checkedAt.containsKey(a));
  }

  /** Advances the time. */
  public List<ConfigEffect> tick(long now) {
    List<ConfigEffect> effects = new ArrayList<>();
    questions.values().removeIf(q -> now - q.atMillis() >= ASK_TIMEOUT_MILLIS);
    if (now >= nextPoll) {
      nextPoll = now + POLL_INTERVAL_MILLIS;
      askControl(now, effects);
      if (checkAgeMillis(now) >= ASK_PEERS_AFTER_MILLIS || !confirmed()) {
        askPeer(now, effects);
      }
    }
    askNewer(now, effects);
    return effects;
  }

  /** Takes note that the daemon at {@code address} has {@code revision}. */
  public List<ConfigEffect> learn(String address, long revision, long now) {
    List<ConfigEffect> effects = new ArrayList<>();
    if (revision > view().revision() && !address.equals(self)) {
      newer.merge(address, revision, Math::max);
      askNewer(now, effects);
    }
    return effects;
  }

  /** Takes in the state of the control member in this process, which needs no question. */
  public List<ConfigEffect> local(ConfigAnswer answer, long now) {
    List<ConfigEffect> effects = new ArrayList<>();
    if (apply(answer, effects) && checkedAt.containsKey(self)) {
      checkedAt.put(self, now);
    }
    return effects;
  }

  /** Handles an answer; one that is late or belongs to another request is no check. */
  public List<ConfigEffect> answer(ConfigAnswer answer, long now) {
    List<ConfigEffect> effects = new ArrayList<>();
    final boolean complete = apply(answer, effects);
    Question q = questions.remove(answer.id());
    if (q != null && now - q.atMillis() > ASK_TIMEOUT_MILLIS) {
      q = null;
    }
    if (q == null) {
      return effects;
    }
    newer.remove(q.address());
    if (!complete) {
      return effects;
    }
    if (checkedAt.containsKey(q.address())) {
      checkedAt.merge(q.address(), q.atMillis(), Math::max);
    }
    if (answer.confirmed()) {
      long at = q.atMillis() - Math.max(0, answer.confirmedAgeMillis());
      relayedCheckAt = Math.max(relayedCheckAt, at);
    }
    return effects;
  }

  /** Handles the failure of a question: asks another control member in this interval. */
  public List<ConfigEffect> fail(long id, long now) {
    List<ConfigEffect> effects = new ArrayList<>();
    Question q = questions.remove(id);
    if (q == null) {
      return effects;
    }
    newer.remove(q.address());
    if (checkedAt.containsKey(q.address())) {
      askControl(now, effects);
    }
    return effects;
  }

  /** Returns the answer to question {@code id} of a daemon that has {@code revision}. */
  public ConfigAnswer answerFor(long id, long revision, long now) {
    List<ConfigChange> changes = log.changesAfter(revision);
    boolean whole = changes == null;
    return new ConfigAnswer(
        id,
        view().revision(),
        whole ? List.of() : changes,
        whole ? view() : null,
        confirmed(),
        checkAgeMillis(now));
  }

  /** Returns whether this daemon has at least the revision of the sender now. */
  private boolean apply(ConfigAnswer answer, List<ConfigEffect> effects) {
    boolean changed = answer.view() != null && log.replace(answer.view());
    for (ConfigChange c : answer.changes()) {
      if (c.revision() > view().revision() && c.previousRevision() > view().revision()) {
        // Changes before this one are missing; the next question is for the current revision.
        break;
      }
      changed |= log.apply(c);
    }
    if (changed) {
      newer.values().removeIf(r -> r <= view().revision());
      effects.add(new ConfigEffect.Changed(view()));
    }
    return view().revision() >= answer.revision();
  }

  /** Asks the control member that was not asked for the longest time. */
  private void askControl(long now, List<ConfigEffect> effects) {
    String next = null;
    for (String a : checkedAt.keySet()) {
      boolean rested = now - askedAt.getOrDefault(a, NEVER) >= POLL_INTERVAL_MILLIS;
      if (!a.equals(self) && rested && (next == null || before(a, next))) {
        next = a;
      }
    }
    if (next != null) {
      ask(next, now, effects);
    }
  }

  private boolean before(String a, String b) {
    return askedAt.getOrDefault(a, NEVER) < askedAt.getOrDefault(b, NEVER);
  }

  private void askPeer(long now, List<ConfigEffect> effects) {
    List<String> candidates = new ArrayList<>(peers);
    candidates.removeAll(checkedAt.keySet());
    if (!candidates.isEmpty()) {
      ask(candidates.get(random.nextInt(candidates.size())), now, effects);
    }
  }

  private void askNewer(long now, List<ConfigEffect> effects) {
    if (newer.isEmpty()) {
      return;
    }
    for (Question q : questions.values()) {
      if (newer.containsKey(q.address())) {
        return;
      }
    }
    List<String> candidates = new ArrayList<>(newer.keySet());
    ask(candidates.get(random.nextInt(candidates.size())), now, effects);
  }

  private void ask(String address, long now, List<ConfigEffect> effects) {
    askedAt.put(address, now);
    questions.put(++lastId, new Question(address, now));
    effects.add(new ConfigEffect.Ask(lastId, address, view().revision()));
  }
}
