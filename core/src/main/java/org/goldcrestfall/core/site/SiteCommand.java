package org.goldcrestfall.core.site;

import com.google.common.collect.ImmutableMap;
import java.util.List;
import org.goldcrestfall.core.prepaid.PrepaidLedger;
import org.goldcrestfall.core.prepaid.RouterLife;

/** An entry of the replicated log of a site. */
public sealed interface SiteCommand {

  /**
   * Replaces the configuration if the version is higher.
   *
   * @param document the operator's document, compressed; kept unchanged
   * @param totals the prepaid tokens of each limited workspace
   */
  record PutConfiguration(long version, byte[] document, ImmutableMap<String, Long> totals)
      implements SiteCommand {}

  /** Returns and asks for prepaid tokens of a router incarnation. */
  record RenewAllotments(
      String router, long number, RouterLife life, List<PrepaidLedger.Demand> demands)
      implements SiteCommand {}
}
