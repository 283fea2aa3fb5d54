package org.goldcrestfall.core.site;

import com.google.common.collect.ImmutableMap;
import java.util.List;
import org.goldcrestfall.core.consensus.ProtocolVersion;
import org.goldcrestfall.core.prepaid.Demand;
import org.goldcrestfall.core.prepaid.GrantRule;
import org.goldcrestfall.core.prepaid.IncarnationTimes;
import org.goldcrestfall.core.prepaid.LeaderTime;
import org.goldcrestfall.core.quarantine.CrashReport;
import org.goldcrestfall.core.quarantine.LostAnswers;
import org.goldcrestfall.core.quarantine.ServicePart;
import org.goldcrestfall.core.quarantine.SoundAnswer;

/** A command in the replicated log of a site. */
public sealed interface SiteCommand {

  /**
   * Replaces the configuration if the version is higher than that of the one in force.
   *
   * @param document the operator's document, compressed and otherwise unchanged
   * @param totals the prepaid tokens of each limited workspace
   */
  record PutConfiguration(long version, byte[] document, ImmutableMap<String, Long> totals)
      implements SiteCommand {}

  /**
   * Returns prepaid tokens of a router incarnation to the ledger and requests new ones.
   *
   * @param proposedAt the leader's clocks when it proposed the command; {@link LeaderTime#NONE}
   *     before that
   * @param rule the rule by which all members of the group grant tokens for this command
   */
  record RenewAllotments(
      String router,
      long number,
      IncarnationTimes times,
      List<Demand> demands,
      LeaderTime proposedAt,
      GrantRule rule)
      implements SiteCommand {}

  /**
   * Reports answers that were lost in crashes of upstreams, and answers that show that their parts
   * are sound.
   *
   * @param sentAtMillis the router's time in milliseconds since the epoch
   */
  record ReportAnswers(List<LostAnswers> lost, List<SoundAnswer> sound, long sentAtMillis)
      implements SiteCommand {}

  /**
   * The same report in a group that runs a protocol before {@link ProtocolVersion#COUNTED_LOSSES}.
   *
   * @param lost requests that were lost before their answers had begun
   * @param answered parts with which answers have begun or ended
   * @param sentAtMillis the router's time in milliseconds since the epoch
   */
  record ReportCrashes(List<CrashReport> lost, List<ServicePart> answered, long sentAtMillis)
      implements SiteCommand {}

  /** Gives a host that runs a router a number, unless it has one. */
  record RegisterRouter(String host) implements SiteCommand {}

  /** Evacuates an availability zone, or takes its evacuation back. */
  record SetEvacuation(String zone, boolean evacuated) implements SiteCommand {}
}
