package org.goldcrestfall.core.site;

import com.google.common.collect.ImmutableMap;
import java.util.List;
import org.goldcrestfall.core.prepaid.PrepaidLedger;

/** The state machine behind the replicated log of a site. Deterministic; not thread-safe. */
public final class SiteState {

  /**
   * The configuration in force.
   *
   * @param index the log index that it came into force at; 0 for none
   */
  public record StoredConfiguration(
      long version, long index, byte[] document, ImmutableMap<String, Long> totals) {

    /** The configuration before the first one. */
    public static final StoredConfiguration NONE =
        new StoredConfiguration(0, 0, new byte[0], ImmutableMap.of());
  }

  /** The version in force after a command, and the allotments that it asked about. */
  public record Reply(long version, List<PrepaidLedger.Allotment> allotments) {}

  private final PrepaidLedger ledger = new PrepaidLedger();
  private StoredConfiguration configuration = StoredConfiguration.NONE;

  /** Applies the command at a log index. */
  public Reply apply(long index, SiteCommand command) {
    if (command instanceof SiteCommand.PutConfiguration c) {
      if (c.version() > configuration.version()) {
        configuration = new StoredConfiguration(c.version(), index, c.document(), c.totals());
        ledger.setTotals(c.totals());
      }
      return new Reply(configuration.version(), List.of());
    }
    SiteCommand.RenewAllotments c = (SiteCommand.RenewAllotments) command;
    return new Reply(
        configuration.version(), ledger.renew(c.router(), c.number(), c.life(), c.demands()));
  }

  /** Returns the configuration in force. */
  public StoredConfiguration configuration() {
    return configuration;
  }

  /** Returns the prepaid tokens of a workspace that no router holds. */
  public long available(String workspace) {
    return ledger.available(workspace);
  }

  /** Returns the prepaid tokens that came back from routers that were killed. */
  public long reclaimedTokens() {
    return ledger.reclaimed();
  }

  /** Returns the sums of all router incarnations. */
  public List<PrepaidLedger.RouterSums> allotments() {
    return ledger.routers();
  }

  /** Replaces the state by one that a snapshot holds. */
  public void restore(StoredConfiguration stored, List<PrepaidLedger.RouterSums> allotments) {
    configuration = stored;
    ledger.setTotals(stored.totals());
    ledger.restore(allotments);
  }
}
