package org.goldcrestfall.standin.bench;

import java.util.Map;
import org.goldcrestfall.core.admission.ReservedShares;

/**
 * Patience classes of the benchmarks, with their first-token deadline, price, priority and reserved
 * share of the slots.
 */
enum BenchPatienceClass {
  QUICK(2_000, 1_000, 10, 500),
  PATIENT(60_000, 300, 1, 200);

  static final ReservedShares RESERVED_SHARES =
      new ReservedShares(
          Map.of(
              QUICK.name(),
              QUICK.reservedSharePerMille,
              PATIENT.name(),
              PATIENT.reservedSharePerMille));

  final long deadlineMillis;
  final long pricePerMille;
  final int priority;
  final int reservedSharePerMille;

  BenchPatienceClass(
      long deadlineMillis, long pricePerMille, int priority, int reservedSharePerMille) {
    this.deadlineMillis = deadlineMillis;
    this.pricePerMille = pricePerMille;
    this.priority = priority;
    this.reservedSharePerMille = reservedSharePerMille;
  }
}
