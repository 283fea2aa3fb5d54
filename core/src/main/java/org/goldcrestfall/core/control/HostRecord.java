package org.goldcrestfall.core.control;

import java.util.List;

/**
 * A registered host with its newest incarnation. {@code registeredAt} and {@code closedAt} are log
 * indexes; {@code closedAt} is 0 while the incarnation is open. {@code closedThrough} is the
 * highest log index that the incarnation has confirmed by {@link ControlCommand.ReportTransfers}.
 * {@code nonces} are those of the newest registrations, in the form {@code boot:nonce}.
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
