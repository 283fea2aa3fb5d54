package org.goldcrestfall.core.control;

import java.util.Map;

/**
 * The budget of a workspace in tokens. {@code paidIn - settled - outstanding - stranded} is the
 * unallotted rest; {@code outstandingByRouter} maps an incarnation to its open allotment. Tokens
 * that a router received from another router and settled before the transfer was recorded make its
 * allotment negative until the record arrives; the sum is not affected. {@code writtenOff} is use
 * that was reported after an operator had released the stranded tokens that it would have been
 * charged to.
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
