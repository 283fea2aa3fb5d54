package org.goldcrestfall.core.control;

import java.util.Map;

/**
 * The budget of a workspace in tokens. {@code unallotted} equals {@code paidIn - settled -
 * outstanding - stranded}. {@code outstandingByRouter} maps an open incarnation to its balance. The
 * balance is negative while a router has settled tokens that it received from another router and
 * the transfer is not recorded yet; the sum is not affected. {@code writtenOff} is usage that was
 * reported after an operator had released the stranded tokens to be charged for it.
 */
public record BudgetView(
    String workspace,
    long paidIn,
    long settled,
    long outstanding,
    long stranded,
    Map<String, Long> outstandingByRouter,
    long unallotted,
    long writtenOff) {}
