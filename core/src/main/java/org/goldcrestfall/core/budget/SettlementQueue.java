package org.goldcrestfall.core.budget;

import static com.google.common.base.Preconditions.checkArgument;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.goldcrestfall.core.control.BillingRecord;
import org.goldcrestfall.core.control.ControlCommand.SettleRequests;
import org.goldcrestfall.core.control.ControlReply;

/**
 * Holds the billing records of a router until the control group has acknowledged them. At most one
 * numbered batch is in flight and is resent unchanged until its reply arrives, so the control group
 * can tell a duplicate batch from a new one. Not thread-safe.
 */
public final class SettlementQueue {

  /** Maximum number of records in a batch. */
  public static final int MAX_BATCH_RECORDS = 256;

  /** Time after which a batch that is not full is sent. */
  public static final long BATCH_INTERVAL_MILLIS = 200;

  /** Time after which a batch without a reply is resent. */
  public static final long RESEND_MILLIS = 1_000;

  private final AllotmentLedger ledger;
  private final ArrayDeque<BillingRecord> waiting = new ArrayDeque<>();
  private SettleRequests inFlight;
  private long waitingSinceMillis;
  private long sentAtMillis;
  private long lastBatchNumber;
  private int batchLimit = MAX_BATCH_RECORDS;

  /** Creates an empty queue that settles use in {@code ledger}. */
  public SettlementQueue(AllotmentLedger ledger) {
    this.ledger = ledger;
  }

  /** Result of the settlement of a record. */
  public enum Result {
    /** The record was charged. */
    CHARGED,
    /** The request was billed before; the tokens are available again. */
    ALREADY_BILLED,
    /** The control group refused the record as invalid; its tokens stay unsettled. */
    REJECTED
  }

  /** A record with the result of its settlement. */
  public record Outcome(BillingRecord record, Result result) {}

  /** Adds the record of a finished request, whose use the ledger counts as unsettled. */
  public void add(BillingRecord record, long nowMillis) {
    if (waiting.isEmpty()) {
      waitingSinceMillis = nowMillis;
    }
    waiting.add(record);
  }

  /** Returns the number of records that are not acknowledged. */
  public int size() {
    return waiting.size() + (inFlight == null ? 0 : inFlight.records().size());
  }

  /**
   * Returns the batch to send or resend now, if any. With {@code flush}, a new batch is returned
   * even if it is neither full nor due.
   */
  public Optional<SettleRequests> nextBatch(long nowMillis, boolean flush) {
    if (inFlight != null) {
      if (nowMillis - sentAtMillis < RESEND_MILLIS) {
        return Optional.empty();
      }
    } else {
      boolean due =
          waiting.size() >= batchLimit || nowMillis - waitingSinceMillis >= BATCH_INTERVAL_MILLIS;
      if (waiting.isEmpty() || !(flush || due)) {
        return Optional.empty();
      }
      List<BillingRecord> records = new ArrayList<>();
      while (records.size() < batchLimit && !waiting.isEmpty()) {
        records.add(waiting.remove());
      }
      lastBatchNumber++;
      inFlight = new SettleRequests(ledger.self(), lastBatchNumber, records);
      waitingSinceMillis = nowMillis;
    }
    sentAtMillis = nowMillis;
    return Optional.of(inFlight);
  }

  /**
   * Applies the reply to the batch in flight and returns the outcomes of its records. A reply to
   * another batch is ignored and has no outcomes.
   *
   * @throws IllegalArgumentException if the number of results is not that of the records
   */
  public List<Outcome> acknowledge(ControlReply.Settled reply) {
    if (inFlight == null || inFlight.batch() != reply.batch()) {
      return List.of();
    }
    List<BillingRecord> records = inFlight.records();
    checkArgument(
        records.size() == reply.charged().size(),
        "the reply to batch %s has %s results, expected one for each of %s records",
        reply.batch(),
        reply.charged().size(),
        records.size());
    inFlight = null;
    batchLimit = MAX_BATCH_RECORDS;
    List<Outcome> outcomes = new ArrayList<>();
    for (int i = 0; i < records.size(); i++) {
      BillingRecord r = records.get(i);
      if (reply.charged().get(i)) {
        ledger.charged(r.workspace(), r.tokens());
        outcomes.add(new Outcome(r, Result.CHARGED));
      } else {
        ledger.releaseUnsettled(r.workspace(), r.tokens());
        outcomes.add(new Outcome(r, Result.ALREADY_BILLED));
      }
    }
    return outcomes;
  }

  /**
   * Handles the refusal of the batch in flight. Its records are sent again under new batch numbers,
   * the next batch with half as many records, until a refused batch has a single record, whose
   * rejection is returned.
   */
  public List<Outcome> refuse(long batch) {
    if (inFlight == null || inFlight.batch() != batch) {
      return List.of();
    }
    List<BillingRecord> records = inFlight.records();
    inFlight = null;
    if (records.size() == 1) {
      batchLimit = MAX_BATCH_RECORDS;
      return List.of(new Outcome(records.get(0), Result.REJECTED));
    }
    batchLimit = records.size() / 2;
    for (int i = records.size() - 1; i >= 0; i--) {
      waiting.addFirst(records.get(i));
    }
    return List.of();
  }
}
