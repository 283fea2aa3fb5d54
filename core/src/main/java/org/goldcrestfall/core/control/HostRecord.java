package org.goldcrestfall.core.control;

import java.util.List;

/**
 * A registered host with its newest incarnation. {@code registeredAt} and {@code closedAt} are log
 * indexes, {@code closedAt} is 0 while the incarnation is open. {@code nonces} are the newest
 * registrations, as {@code boot:nonce}. {@code closedThrough} is the highest closing that the host
 * has taken note of, see {@link ControlCommand.ReportTransfers}.
 */
public record HostRecord(
    String host,
    String zone,
    String address,
    long boot,
    boolean router,
    boolean disk,
    long registeredAt,
    long closedAt,
    long closedThrough,
    List<String> nonces) {

  /** Copies the list. */
  public HostRecord {
    nonces = List.copyOf(nonces);
  }
}
