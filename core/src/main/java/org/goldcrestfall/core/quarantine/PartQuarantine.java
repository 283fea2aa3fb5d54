package org.goldcrestfall.core.quarantine;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableSet;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * Finds prompt parts that crash upstreams. Each crash makes the shared parts of the requests
 * suspect whose answer had not begun; the first answer that begins with a part clears it. A part
 * that stays suspect over several crashes is put in quarantine, so that requests with it are
 * refused. Parts that were lost in the same crashes are refused only together, so that a sound one
 * is cleared by a request that has it alone. Deterministic and not thread-safe.
 */
public final class PartQuarantine {

  /** Duration of a quarantine, after which the engines may have been repaired. */
  static final long QUARANTINE_MILLIS = 600_000;

  /** Age at which a crash no longer counts. */
  static final long EVIDENCE_MILLIS = 600_000;

  /** Number of crashed upstreams from which on a part that none has answered is quarantined. */
  static final int MIN_CRASHES = 3;

  /** Number of requests with a part that must have been lost, so that none is blamed alone. */
  static final int MIN_REQUESTS = 2;

  /** Time between two crashes up to which these may have the same cause outside the requests. */
  static final long SIMULTANEOUS_MILLIS = 100;

  /** Duration of a series of such crashes from which on these are no outage. */
  static final long MAX_OUTAGE_MILLIS = 200;

  /**
   * Number of simultaneous crashes from which on these are taken for an outage that has nothing to
   * do with the requests.
   */
  static final int OUTAGE_CRASHES = 3;

  private static final int MAX_REPORTS = 200;

  private record Crash(String upstream, long startedAtMillis) {}

  private final List<CrashReport> reports = new ArrayList<>();
  private final Map<ServicePart, Long> quarantined = new LinkedHashMap<>();

  /**
   * Records lost requests and parts with which an answer has begun since. Returns whether the
   * suspect parts have changed.
   *
   * @param nowMillis the time of the sender, in milliseconds since the epoch
   */
  public boolean update(List<CrashReport> lost, List<ServicePart> answered, long nowMillis) {
    boolean changed = expire(nowMillis);
    for (ServicePart p : answered) {
      changed |= clear(p);
    }
    for (CrashReport r : lost) {
      changed |= add(r, nowMillis);
    }
    releaseExplainedParts();
    return changed;
  }

  private boolean expire(long nowMillis) {
    boolean expired = reports.removeIf(r -> nowMillis - r.atMillis() > EVIDENCE_MILLIS);
    return quarantined.values().removeIf(at -> nowMillis - at > QUARANTINE_MILLIS) || expired;
  }

  private boolean clear(ServicePart part) {
    boolean wasQuarantined = quarantined.remove(part) != null;
    boolean wasSuspect = reports.stream().anyMatch(r -> concerns(r, part));
    if (wasSuspect) {
      // The report without the part is kept, because it counts as a crash for the other parts.
      reports.replaceAll(r -> concerns(r, part) ? r.without(part.part()) : r);
    }
    return wasQuarantined || wasSuspect;
  }

  private boolean add(CrashReport report, long nowMillis) {
    for (CrashReport r : reports) {
      if (r.isSameCrash(report) && r.request().equals(report.request())) {
        return false;
      }
    }
    if (reports.size() == MAX_REPORTS) {
      reports.remove(0);
    }
    reports.add(report);
    for (String p : report.parts()) {
      ServicePart part = new ServicePart(report.service(), p);
      if (isConvicted(part)) {
        quarantined.putIfAbsent(part, nowMillis);
      }
    }
    return true;
  }

  private boolean isConvicted(ServicePart part) {
    Set<String> requests = new HashSet<>();
    long first = Long.MAX_VALUE;
    long last = Long.MIN_VALUE;
    for (CrashReport r : reports) {
      if (concerns(r, part) && !isOutage(r)) {
        requests.add(r.request());
        first = Math.min(first, r.atMillis());
        last = Math.max(last, r.atMillis());
      }
    }
    return crashes(part).size() >= MIN_CRASHES
        && requests.size() >= MIN_REQUESTS
        && last - first > SIMULTANEOUS_MILLIS;
  }

  /** Returns the crashes, other than outages, in which requests with the part were lost. */
  private Set<Crash> crashes(ServicePart part) {
    Set<Crash> crashes = new HashSet<>();
    for (CrashReport r : reports) {
      if (concerns(r, part) && !isOutage(r)) {
        crashes.add(new Crash(r.upstream(), r.startedAtMillis()));
      }
    }
    return crashes;
  }

  private Map<ServicePart, Set<Crash>> crashesOfQuarantined() {
    Map<ServicePart, Set<Crash>> out = new LinkedHashMap<>();
    quarantined.keySet().forEach(p -> out.put(p, crashes(p)));
    return out;
  }

  /** Ends the quarantine of parts if another part was lost in all their crashes and in others. */
  private void releaseExplainedParts() {
    Map<ServicePart, Set<Crash>> convicted = crashesOfQuarantined();
    convicted.forEach(
        (part, crashes) -> {
          for (Map.Entry<ServicePart, Set<Crash>> other : convicted.entrySet()) {
            if (!crashes.isEmpty()
                && other.getKey().service().equals(part.service())
                && other.getValue().size() > crashes.size()
                && other.getValue().containsAll(crashes)) {
              quarantined.remove(part);
            }
          }
        });
  }

  /** Returns whether a crash is one of several of the service that happened at the same time. */
  private boolean isOutage(CrashReport report) {
    Map<Crash, Long> times = new HashMap<>();
    for (CrashReport r : reports) {
      if (r.service().equals(report.service())) {
        times.merge(new Crash(r.upstream(), r.startedAtMillis()), r.atMillis(), Math::min);
      }
    }
    long crashedAtMillis = times.get(new Crash(report.upstream(), report.startedAtMillis()));
    List<Long> sorted = times.values().stream().sorted().toList();
    int first = sorted.indexOf(crashedAtMillis);
    int last = first;
    while (first > 0 && sorted.get(first) - sorted.get(first - 1) <= SIMULTANEOUS_MILLIS) {
      first--;
    }
    while (last + 1 < sorted.size()
        && sorted.get(last + 1) - sorted.get(last) <= SIMULTANEOUS_MILLIS) {
      last++;
    }
    return last - first + 1 >= OUTAGE_CRASHES
        && sorted.get(last) - sorted.get(first) <= MAX_OUTAGE_MILLIS;
  }

  private static boolean concerns(CrashReport report, ServicePart part) {
    return report.service().equals(part.service()) && report.parts().contains(part.part());
  }

  /** Returns the suspect parts, those in quarantine included. */
  public ImmutableList<SuspectPart> suspects() {
    Map<ServicePart, Set<String>> upstreams = new LinkedHashMap<>();
    quarantined.keySet().forEach(p -> upstreams.put(p, new LinkedHashSet<>()));
    for (CrashReport r : reports) {
      for (String p : r.parts()) {
        upstreams
            .computeIfAbsent(new ServicePart(r.service(), p), k -> new LinkedHashSet<>())
            .add(r.upstream());
      }
    }
    Map<ServicePart, Set<Crash>> convicted = crashesOfQuarantined();
    ImmutableList.Builder<SuspectPart> out = ImmutableList.builder();
    upstreams.forEach(
        (part, crashed) ->
            out.add(
                new SuspectPart(
                    part,
                    ImmutableSet.copyOf(crashed),
                    companions(part, convicted),
                    quarantined.getOrDefault(part, 0L))));
    return out.build();
  }

  private static ImmutableSet<String> companions(
      ServicePart part, Map<ServicePart, Set<Crash>> convicted) {
    ImmutableSet.Builder<String> out = ImmutableSet.builder();
    convicted.forEach(
        (other, crashes) -> {
          if (!crashes.isEmpty()
              && !other.equals(part)
              && other.service().equals(part.service())
              && crashes.equals(convicted.get(part))) {
            out.add(other.part());
          }
        });
    return out.build();
  }

  /** Returns the reports that still count, for a snapshot. */
  public ImmutableList<CrashReport> reports() {
    return ImmutableList.copyOf(reports);
  }

  /** Replaces the state by that of a snapshot. */
  public void restore(List<CrashReport> oldReports, List<SuspectPart> suspects) {
    reports.clear();
    reports.addAll(oldReports);
    quarantined.clear();
    for (SuspectPart s : suspects) {
      if (s.quarantinedAtMillis() != 0) {
        quarantined.put(s.part(), s.quarantinedAtMillis());
      }
    }
  }
}
