package org.goldcrestfall.core.budget;

import static com.google.common.base.Preconditions.checkArgument;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeMap;
import org.goldcrestfall.core.common.Incarnation;
import org.goldcrestfall.core.common.SequenceNumberSet;
import org.goldcrestfall.core.control.ControlCommand.TransferAllotment;

/**
 * Transfers of tokens between routers. The sender deducts the tokens and numbers the transfer
 * before sending it, and resends it until it is acknowledged; the receiver applies each number of a
 * sender once. Both sides report the transfer to the control group. A transfer names the receiving
 * incarnation and is never reversed, so a failure can strand tokens but never duplicate them. Not
 * thread-safe.
 */
public final class TransferLedger {

  private final AllotmentLedger ledger;
  private final Map<String, Long> lastNumbers = new HashMap<>();
  private final TreeMap<String, TransferAllotment> undelivered = new TreeMap<>();
  private final TreeMap<String, TransferAllotment> unreported = new TreeMap<>();
  private final Map<String, SequenceNumberSet> received = new HashMap<>();
  private final Set<Incarnation> closedIncarnations = new HashSet<>();
  private long closedThrough;

  /** Creates an empty ledger that transfers tokens from and to {@code ledger}. */
  public TransferLedger(AllotmentLedger ledger) {
    this.ledger = ledger;
  }

  /**
   * Deducts tokens for a peer and returns the transfer to send. The result is empty if the tokens
   * are not available or the peer's incarnation is closed.
   */
  public Optional<TransferAllotment> startTransfer(String workspace, long tokens, Incarnation to) {
    checkArgument(!to.equals(ledger.self()), "a router cannot transfer tokens to itself");
    if (tokens <= 0 || closedIncarnations.contains(to) || !ledger.transferOut(workspace, tokens)) {
      return Optional.empty();
    }
    long number = lastNumbers.merge(workspace, 1L, Long::sum);
    TransferAllotment t = new TransferAllotment(ledger.self(), to, workspace, number, tokens);
    undelivered.put(key(t), t);
    unreported.put(key(t), t);
    return Optional.of(t);
  }

  /** Returns the transfers to resend to their receivers. */
  public List<TransferAllotment> undelivered() {
    return new ArrayList<>(undelivered.values());
  }

  /** Records that the receiver has acknowledged a transfer of this router. */
  public void delivered(String workspace, long number) {
    undelivered.remove(key(ledger.self(), workspace, number));
  }

  /**
   * Adds the tokens of an incoming transfer once and returns whether to acknowledge it. A transfer
   * to another incarnation is not accepted, nor is a new one from a closed incarnation.
   */
  public boolean receive(TransferAllotment t) {
    if (!t.to().equals(ledger.self())) {
      return false;
    }
    SequenceNumberSet seen =
        received.computeIfAbsent(t.from() + "/" + t.workspace(), k -> new SequenceNumberSet());
    if (closedIncarnations.contains(t.from())) {
      return seen.contains(t.number());
    }
    if (seen.add(t.number())) {
      ledger.transferIn(t.workspace(), t.tokens());
      unreported.put(key(t), t);
    }
    return true;
  }

  /** Returns the transfers to report to the control group. */
  public List<TransferAllotment> unreported() {
    return new ArrayList<>(unreported.values());
  }

  /** Records that the control group has recorded a transfer. */
  public void reported(TransferAllotment t) {
    unreported.remove(key(t));
  }

  /**
   * Records that incarnations were closed at or before a log index. No further transfer is accepted
   * from them, and undelivered transfers to them are not resent; this router has reported these
   * transfers to the control group or still reports them.
   */
  public void close(Set<Incarnation> incarnations, long throughIndex) {
    closedIncarnations.addAll(incarnations);
    undelivered.values().removeIf(t -> closedIncarnations.contains(t.to()));
    closedThrough = Math.max(closedThrough, throughIndex);
  }

  /**
   * Returns the log index for {@code ReportTransfers}: all transfers received from incarnations
   * that were closed up to this index are reported. The result is empty while some of them are not
   * reported, and before the first call of {@link #close}.
   */
  public Optional<Long> closedThrough() {
    for (TransferAllotment t : unreported.values()) {
      if (closedIncarnations.contains(t.from())) {
        return Optional.empty();
      }
    }
    return closedThrough == 0 ? Optional.empty() : Optional.of(closedThrough);
  }

  private static String key(TransferAllotment t) {
    return key(t.from(), t.workspace(), t.number());
  }

  private static String key(Incarnation from, String workspace, long number) {
    return from + "/" + workspace + "/" + number;
  }
}
