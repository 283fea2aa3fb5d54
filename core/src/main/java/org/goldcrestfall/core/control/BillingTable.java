package org.goldcrestfall.core.control;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import org.goldcrestfall.core.common.ErrorKind;
import org.goldcrestfall.core.common.Incarnation;

/** The billing records. Only the first record of a request is charged; later ones are ignored. */
final class BillingTable {

  /**
   * The number of records retained over all workspaces, about 25 MB. A dropped record can no longer
   * be read by {@code GET /admin/v1/billing}, but its request still counts as billed.
   */
  static final int MAX_RECORDS = 50_000;

  /**
   * The minimum number of billed request ids that are retained, at 33 bytes each. A request whose
   * id was dropped would be charged again if its caller retried it; ids are retained for at least 9
   * minutes at 441 requests per second, and for 94 minutes at a tenth of that rate.
   */
  static final int MIN_RETAINED_IDS = 250_000;

  /**
   * The number of incarnations whose last batch is retained; superseded incarnations are dropped
   * first. A delayed copy of a batch of a dropped incarnation charges no request twice as long as
   * the request ids are retained.
   */
  static final int MAX_BATCHES = 4_096;

  private final BudgetTable budgets;
  private final LinkedHashMap<List<String>, BillingRecord> records = new LinkedHashMap<>();
  private final DigestSet billedIds = new DigestSet(MIN_RETAINED_IDS);
  private final TreeMap<Incarnation, Batch> batches = new TreeMap<>();

  BillingTable(BudgetTable budgets) {
    this.budgets = budgets;
  }

  ControlReply settle(ControlCommand.SettleRequests c) {
    Batch last = batches.getOrDefault(c.router(), new Batch(c.router(), 0, List.of()));
    if (c.batch() == last.number()) {
      if (last.charged().size() != c.records().size()) {
        return refusedBatch(c.batch());
      }
      return new ControlReply.Settled(c.batch(), last.charged());
    }
    if (c.batch() < last.number()) {
      return refusedBatch(c.batch());
    }
    for (BillingRecord r : c.records()) {
      Budget b = budgets.find(r.workspace());
      ControlReply.Refused refused = budgets.check(c.router(), b, r.workspace(), r.tokens());
      if (refused != null) {
        // The router sends the records again in other batches, so a delayed copy of this batch must
        // not succeed.
        storeBatch(new Batch(c.router(), c.batch(), List.of()));
        return refused;
      }
    }
    List<Boolean> charged = new ArrayList<>();
    for (BillingRecord r : c.records()) {
      boolean first = billedIds.add(r.workspace(), r.requestId());
      charged.add(first);
      if (first) {
        Budget b = budgets.find(r.workspace());
        b.charge(budgets.getOrCreateAccount(b, c.router()), r.tokens());
        records.put(List.of(r.workspace(), r.requestId()), r);
      }
    }
    while (records.size() > MAX_RECORDS) {
      records.remove(records.keySet().iterator().next());
    }
    storeBatch(new Batch(c.router(), c.batch(), charged));
    return new ControlReply.Settled(c.batch(), charged);
  }

  private static ControlReply refusedBatch(long batch) {
    return new ControlReply.Refused(
        ErrorKind.INVALID_PARAMETER, "batch " + batch + " was answered or refused earlier");
  }

  private void storeBatch(Batch batch) {
    batches.put(batch.router(), batch);
    if (batches.size() > MAX_BATCHES) {
      dropOldestBatch();
    }
  }

  private void dropOldestBatch() {
    Map<String, Long> newest = new HashMap<>();
    batches.keySet().forEach(i -> newest.merge(i.host(), i.boot(), Math::max));
    for (Incarnation i : batches.keySet()) {
      if (newest.get(i.host()) > i.boot()) {
        batches.remove(i);
        return;
      }
    }
  }

  /** Returns the newest records of a workspace, newest first. */
  List<BillingRecord> newest(String workspace, int limit) {
    List<BillingRecord> result = new ArrayList<>();
    for (BillingRecord r : records.values()) {
      if (r.workspace().equals(workspace)) {
        result.add(r);
      }
    }
    return NewestFirst.of(result, limit);
  }

  /** Returns the record of a request, an empty list if there is none. */
  List<BillingRecord> find(String workspace, String requestId) {
    BillingRecord r = records.get(List.of(workspace, requestId));
    return r == null ? List.of() : List.of(r);
  }

  Saved save() {
    return new Saved(
        List.copyOf(records.values()), billedIds.save(), List.copyOf(batches.values()));
  }

  void restore(Saved s) {
    s.records().forEach(r -> records.put(List.of(r.workspace(), r.requestId()), r));
    billedIds.restore(s.billed());
    s.batches().forEach(b -> batches.put(b.router(), b));
  }

  /** The last batch of an incarnation; {@code charged} is its reply, empty if it was refused. */
  public record Batch(Incarnation router, long number, List<Boolean> charged) {

    /** Copies the list. */
    public Batch {
      charged = List.copyOf(charged);
    }
  }

  /**
   * The form of the billing records in a snapshot; {@code billed} holds the hashed ids of billed
   * requests.
   */
  public record Saved(List<BillingRecord> records, List<String> billed, List<Batch> batches) {}
}
