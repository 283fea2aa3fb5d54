package org.goldcrestfall.core.quarantine;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableSet;
import com.google.common.collect.Sets;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.OptionalLong;
import java.util.Set;

/**
 * Finds prompt parts that crash upstreams. A crash makes the shared parts of all answers suspect
 * that were lost in it, however far these had been written. An answer that ends as it should clears
 * its parts. An answer that has been written for clearly longer than those that were lost in a
 * crash shows that its parts did not cause this crash. A part that stays suspect over several
 * crashes is put in quarantine, so that requests with it are refused. Parts that were lost in the
 * same crashes are refused only together, so that a sound one is cleared by a request that has it
 * alone. Deterministic and not thread-safe.
 */
public final class PartQuarantine {

  /** Duration of a quarantine, after which the engines may have been repaired. */
  static final long QUARANTINE_MILLIS = 600_000;

  /** Age at which a crash no longer counts. */
  static final long EVIDENCE_MILLIS = 600_000;

  /** Number of crashes from which on a part may be quarantined. */
  static final int MIN_CRASHES = 3;

  /**
   * Points from which on a part is quarantined: three crashes in each of which a single answer with
   * the part was lost, or five with several.
   */
  private static final int MIN_POINTS = 15;

  /** Points of a crash in which one answer with the part was lost. */
  private static final int SINGLE_LOSS_POINTS = 5;

  /**
   * Points of a crash in which several answers with the part were lost. A part of many requests is
   * on each upstream that crashes for whatever reason.
   */
  private static final int SEVERAL_LOSSES_POINTS = 3;

  /** Number of requests with a part that must have been lost, so that none is blamed alone. */
  static final int MIN_REQUESTS = 2;

  private static final int MAX_CRASHES = 200;
  private static final int MAX_CRASHES_PER_PART = 16;
  private static final int MAX_PARTS = 1_000;

  /** Number of suspect parts, besides those in quarantine, that routers get to know. */
  private static final int MAX_PUBLISHED_PARTS = 64;

  /**
   * The answers with one part that were lost in one crash.
   *
   * @param atMillis the time of the crash, in milliseconds since the epoch
   */
  public record Loss(Crash crash, long atMillis, PartLoss answers) {

    /** Returns how far an answer must have been written to exclude the part as the cause. */
    AnswerProgress soundAfter() {
      return answers.longest().orElse(AnswerProgress.BEGUN).clearlyLonger();
    }

    int points() {
      return answers.requests().size() < MIN_REQUESTS ? SINGLE_LOSS_POINTS : SEVERAL_LOSSES_POINTS;
    }

    boolean isRefutedBy(SoundAnswer answer) {
      return answer.progress().isEmpty() || answer.progress().get().reaches(soundAfter());
    }

    Loss plus(Loss other) {
      return new Loss(crash, Math.min(atMillis, other.atMillis), answers.plus(other.answers));
    }
  }

  /**
   * What is known of one part, for a snapshot.
   *
   * @param quarantinedAtMillis milliseconds since the epoch; empty if it is not in quarantine
   */
  public record PartState(
      ServicePart part, ImmutableList<Loss> losses, OptionalLong quarantinedAtMillis) {}

  /** A crash and its time in milliseconds since the epoch, for a snapshot. */
  public record CrashTime(Crash crash, long atMillis) {}

  private static final class Suspect {
    final Map<Crash, Loss> losses = new LinkedHashMap<>();
    OptionalLong quarantinedAtMillis = OptionalLong.empty();

    Rank rank(ServicePart part) {
      Set<String> requests = new HashSet<>();
      long lastLossAtMillis = Long.MIN_VALUE;
      for (Loss l : losses.values()) {
        requests.addAll(l.answers().requests());
        lastLossAtMillis = Math.max(lastLossAtMillis, l.atMillis());
      }
      return new Rank(part, losses.size(), requests.size(), lastLossAtMillis);
    }
  }

  /** The order in which parts are published that are not in quarantine. */
  private record Rank(ServicePart part, int crashes, int requests, long lastLossAtMillis) {
    static final Comparator<Rank> MOST_SUSPECT_FIRST =
        Comparator.comparingInt(Rank::crashes)
            .thenComparingInt(Rank::requests)
            .thenComparingLong(Rank::lastLossAtMillis)
            .reversed();
  }

  private final Map<Crash, Long> crashes = new LinkedHashMap<>();
  private final Map<ServicePart, Suspect> suspects = new LinkedHashMap<>();
  private ImmutableList<SuspectPart> published = ImmutableList.of();

  /**
   * Records lost answers, and answers that show that their parts are sound. Returns whether the
   * suspect parts have changed.
   *
   * @param nowMillis the time of the sender, in milliseconds since the epoch
   */
  public boolean update(List<LostAnswers> lost, List<SoundAnswer> sound, long nowMillis) {
    expire(nowMillis);
    sound.forEach(this::refute);
    Set<ServicePart> affected = new HashSet<>();
    for (LostAnswers l : lost) {
      add(l, affected);
    }
    quarantine(affected, nowMillis);
    releaseExplainedParts();
    ImmutableList<SuspectPart> before = published;
    published = describeSuspects();
    return !published.equals(before);
  }

  private void expire(long nowMillis) {
    crashes.values().removeIf(at -> nowMillis - at > EVIDENCE_MILLIS);
    for (Iterator<Suspect> i = suspects.values().iterator(); i.hasNext(); ) {
      Suspect s = i.next();
      s.losses.values().removeIf(l -> nowMillis - l.atMillis() > EVIDENCE_MILLIS);
      if (s.quarantinedAtMillis.isPresent()
          && nowMillis - s.quarantinedAtMillis.getAsLong() > QUARANTINE_MILLIS) {
        s.quarantinedAtMillis = OptionalLong.empty();
      }
      if (s.losses.isEmpty() && s.quarantinedAtMillis.isEmpty()) {
        i.remove();
      }
    }
  }

  private void refute(SoundAnswer answer) {
    Suspect s = suspects.get(answer.part());
    if (s == null) {
      return;
    }
    boolean refuted = s.losses.values().removeIf(l -> l.isRefutedBy(answer));
    if (!refuted && answer.progress().isPresent()) {
      return;
    }
    if (s.quarantinedAtMillis.isPresent() && !isConvicted(s, outages(answer.part().service()))) {
      s.quarantinedAtMillis = OptionalLong.empty();
    }
    if (s.losses.isEmpty()) {
      suspects.remove(answer.part());
    }
  }

  private void add(LostAnswers lost, Set<ServicePart> affected) {
    crashes.merge(lost.crash(), lost.atMillis(), Math::min);
    removeEldest(crashes, MAX_CRASHES);
    for (PartLoss p : lost.parts()) {
      ServicePart part = new ServicePart(lost.crash().service(), p.part());
      Suspect s = suspects.computeIfAbsent(part, k -> new Suspect());
      Loss reported = new Loss(lost.crash(), lost.atMillis(), p);
      Loss before = s.losses.get(lost.crash());
      Loss merged = before == null ? reported : before.plus(reported);
      if (!merged.equals(before)) {
        s.losses.put(lost.crash(), merged);
        removeEldest(s.losses, MAX_CRASHES_PER_PART);
        affected.add(part);
      }
    }
    removeEldestSuspects();
  }

  private static void removeEldest(Map<Crash, ?> map, int maxSize) {
    if (map.size() > maxSize) {
      map.remove(map.keySet().iterator().next());
    }
  }

  private void removeEldestSuspects() {
    Iterator<Suspect> i = suspects.values().iterator();
    for (int excess = suspects.size() - MAX_PARTS; excess > 0 && i.hasNext(); ) {
      if (i.next().quarantinedAtMillis.isEmpty()) {
        i.remove();
        excess--;
      }
    }
  }

  private void quarantine(Set<ServicePart> affected, long nowMillis) {
    Map<String, Set<Crash>> outages = new HashMap<>();
    for (ServicePart p : affected) {
      Suspect s = suspects.get(p);
      if (s != null
          && s.quarantinedAtMillis.isEmpty()
          && isConvicted(s, outages.computeIfAbsent(p.service(), this::outages))) {
        s.quarantinedAtMillis = OptionalLong.of(nowMillis);
      }
    }
  }

  private static boolean isConvicted(Suspect suspect, Set<Crash> outages) {
    int count = 0;
    int points = 0;
    Set<String> requests = new HashSet<>();
    long first = Long.MAX_VALUE;
    long last = Long.MIN_VALUE;
    for (Loss l : suspect.losses.values()) {
      if (!outages.contains(l.crash())) {
        count++;
        points += l.points();
        requests.addAll(l.answers().requests());
        first = Math.min(first, l.atMillis());
        last = Math.max(last, l.atMillis());
      }
    }
    return count >= MIN_CRASHES
        && points >= MIN_POINTS
        && requests.size() >= MIN_REQUESTS
        && last - first > Outages.SIMULTANEOUS_MILLIS;
  }

  private Set<Crash> outages(String service) {
    Map<Crash, Long> ofService = new HashMap<>();
    crashes.forEach(
        (crash, at) -> {
          if (crash.service().equals(service)) {
            ofService.put(crash, at);
          }
        });
    return Outages.find(ofService);
  }

  /** Returns the crashes, other than outages, of each part in quarantine that has any. */
  private Map<ServicePart, Set<Crash>> crashesOfQuarantined() {
    Map<ServicePart, Set<Crash>> out = new LinkedHashMap<>();
    Map<String, Set<Crash>> outages = new HashMap<>();
    suspects.forEach(
        (part, s) -> {
          if (s.quarantinedAtMillis.isEmpty()) {
            return;
          }
          Set<Crash> others = outages.computeIfAbsent(part.service(), this::outages);
          Set<Crash> own = Set.copyOf(Sets.difference(s.losses.keySet(), others));
          if (!own.isEmpty()) {
            out.put(part, own);
          }
        });
    return out;
  }

  /**
   * Ends the quarantine of parts whose crashes other parts explain, which were lost in further ones
   * as well. Begins with the parts of the fewest crashes; a part that was released explains
   * nothing.
   */
  private void releaseExplainedParts() {
    Map<ServicePart, Set<Crash>> convicted = crashesOfQuarantined();
    List<ServicePart> fewestFirst = new ArrayList<>(convicted.keySet());
    fewestFirst.sort(Comparator.comparingInt(p -> convicted.get(p).size()));
    for (ServicePart part : fewestFirst) {
      Set<Crash> own = convicted.get(part);
      Set<Crash> explained = new HashSet<>();
      convicted.forEach(
          (other, theirs) -> {
            if (other.service().equals(part.service()) && !own.containsAll(theirs)) {
              explained.addAll(theirs);
            }
          });
      if (explained.containsAll(own)) {
        suspects.get(part).quarantinedAtMillis = OptionalLong.empty();
        convicted.remove(part);
      }
    }
  }

  /**
   * Returns the parts in quarantine, and of the others a limited number of those that are most
   * suspect. Each change is sent to all routers, and a crash makes many parts suspect that are in
   * few requests.
   */
  public ImmutableList<SuspectPart> suspects() {
    return published;
  }

  private ImmutableList<SuspectPart> describeSuspects() {
    Map<ServicePart, Set<Crash>> convicted = crashesOfQuarantined();
    ImmutableList.Builder<SuspectPart> out = ImmutableList.builder();
    List<Rank> others = new ArrayList<>();
    suspects.forEach(
        (part, s) -> {
          if (s.quarantinedAtMillis.isPresent()) {
            out.add(describe(part, companions(part, convicted)));
          } else {
            others.add(s.rank(part));
          }
        });
    others.sort(Rank.MOST_SUSPECT_FIRST);
    for (Rank r : others.subList(0, Math.min(MAX_PUBLISHED_PARTS, others.size()))) {
      out.add(describe(r.part(), ImmutableSet.of()));
    }
    return out.build();
  }

  private SuspectPart describe(ServicePart part, ImmutableSet<String> companions) {
    Suspect s = suspects.get(part);
    return new SuspectPart(
        part,
        s.losses.keySet().stream().map(Crash::upstream).collect(ImmutableSet.toImmutableSet()),
        companions,
        s.quarantinedAtMillis.orElse(0),
        s.losses.values().stream().map(Loss::soundAfter).min(AnswerProgress.SHORTEST_FIRST));
  }

  /**
   * Returns the other parts of the same service with the same crashes.
   *
   * @param convicted the crashes of the parts in quarantine, none of which is empty
   */
  static ImmutableSet<String> companions(ServicePart part, Map<ServicePart, Set<Crash>> convicted) {
    Set<Crash> own = convicted.get(part);
    ImmutableSet.Builder<String> out = ImmutableSet.builder();
    convicted.forEach(
        (other, theirs) -> {
          if (!other.equals(part) && other.service().equals(part.service()) && theirs.equals(own)) {
            out.add(other.part());
          }
        });
    return out.build();
  }

  /** Returns whether nothing is known that a snapshot would have to contain. */
  public boolean isEmpty() {
    return crashes.isEmpty() && suspects.isEmpty();
  }

  /** Returns the known crashes in the order of their first reports, for a snapshot. */
  public ImmutableList<CrashTime> crashes() {
    return crashes.entrySet().stream()
        .map(e -> new CrashTime(e.getKey(), e.getValue()))
        .collect(ImmutableList.toImmutableList());
  }

  /** Returns what is known of the parts in the order of their first losses, for a snapshot. */
  public ImmutableList<PartState> parts() {
    return suspects.entrySet().stream()
        .map(
            e ->
                new PartState(
                    e.getKey(),
                    ImmutableList.copyOf(e.getValue().losses.values()),
                    e.getValue().quarantinedAtMillis))
        .collect(ImmutableList.toImmutableList());
  }

  /** Replaces the state by that of a snapshot. */
  public void restore(List<CrashTime> knownCrashes, List<PartState> parts) {
    crashes.clear();
    knownCrashes.forEach(c -> crashes.put(c.crash(), c.atMillis()));
    suspects.clear();
    for (PartState p : parts) {
      Suspect s = new Suspect();
      p.losses().forEach(l -> s.losses.put(l.crash(), l));
      s.quarantinedAtMillis = p.quarantinedAtMillis();
      suspects.put(p.part(), s);
    }
    published = describeSuspects();
  }

  /** Takes over the reports and quarantines of the earlier rule. */
  public void adopt(List<CrashReport> reports, List<SuspectPart> earlier) {
    reports.forEach(r -> add(LostAnswers.of(r), new HashSet<>()));
    for (SuspectPart p : earlier) {
      if (p.quarantinedAtMillis() != 0) {
        suspects.computeIfAbsent(p.part(), k -> new Suspect()).quarantinedAtMillis =
            OptionalLong.of(p.quarantinedAtMillis());
      }
    }
  }
}
