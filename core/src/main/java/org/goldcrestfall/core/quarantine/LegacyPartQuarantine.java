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
import java.util.Optional;
import java.util.Set;

/**
 * The rule of groups in which some members do not support {@link PartQuarantine} yet. It finds only
 * parts that crash upstreams before the first event of an answer. Each crash makes the shared parts
 * of the requests suspect whose answer had not begun; the first answer that begins with a part
 * clears it. A part that stays suspect over several crashes is put in quarantine, so that requests
 * with it are refused. Parts that were lost in the same crashes are refused only together, so that
 * a sound one is cleared by a request that has it alone. Deterministic and not thread-safe.
 */
public final class LegacyPartQuarantine {

  private static final int MAX_REPORTS = 200;

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
    boolean expired =
        reports.removeIf(r -> nowMillis - r.atMillis() > PartQuarantine.EVIDENCE_MILLIS);
    return quarantined.values().removeIf(at -> nowMillis - at > PartQuarantine.QUARANTINE_MILLIS)
        || expired;
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
    Set<Crash> outages = outages(part.service());
    Set<String> requests = new HashSet<>();
    long first = Long.MAX_VALUE;
    long last = Long.MIN_VALUE;
    for (CrashReport r : reports) {
      if (concerns(r, part) && !outages.contains(r.crash())) {
        requests.add(r.request());
        first = Math.min(first, r.atMillis());
        last = Math.max(last, r.atMillis());
      }
    }
    return crashes(part, outages).size() >= PartQuarantine.MIN_CRASHES
        && requests.size() >= PartQuarantine.MIN_REQUESTS
        && last - first > Outages.SIMULTANEOUS_MILLIS;
  }

  /** Returns the crashes, other than outages, in which requests with the part were lost. */
  private Set<Crash> crashes(ServicePart part, Set<Crash> outages) {
    Set<Crash> crashes = new HashSet<>();
    for (CrashReport r : reports) {
      if (concerns(r, part) && !outages.contains(r.crash())) {
        crashes.add(r.crash());
      }
    }
    return crashes;
  }

  /** Returns the crashes, other than outages, of each part in quarantine that has any. */
  private Map<ServicePart, Set<Crash>> crashesOfQuarantined() {
    Map<ServicePart, Set<Crash>> out = new LinkedHashMap<>();
    Map<String, Set<Crash>> outages = new HashMap<>();
    for (ServicePart p : quarantined.keySet()) {
      Set<Crash> own = crashes(p, outages.computeIfAbsent(p.service(), this::outages));
      if (!own.isEmpty()) {
        out.put(p, own);
      }
    }
    return out;
  }

  /** Ends the quarantine of parts if another part was lost in all their crashes and in others. */
  private void releaseExplainedParts() {
    Map<ServicePart, Set<Crash>> convicted = crashesOfQuarantined();
    convicted.forEach(
        (part, crashes) -> {
          for (Map.Entry<ServicePart, Set<Crash>> other : convicted.entrySet()) {
            if (other.getKey().service().equals(part.service())
                && other.getValue().size() > crashes.size()
                && other.getValue().containsAll(crashes)) {
              quarantined.remove(part);
            }
          }
        });
  }

  /** Returns the crashes of a service that happened at the same time as several others. */
  private Set<Crash> outages(String service) {
    Map<Crash, Long> times = new HashMap<>();
    for (CrashReport r : reports) {
      if (r.service().equals(service)) {
        times.merge(r.crash(), r.atMillis(), Math::min);
      }
    }
    return Outages.find(times);
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
                    PartQuarantine.companions(part, convicted),
                    quarantined.getOrDefault(part, 0L),
                    Optional.empty())));
    return out.build();
  }

  /** Returns whether no upstream has crashed under any part. */
  public boolean isEmpty() {
    return reports.isEmpty() && quarantined.isEmpty();
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
