package org.goldcrestfall.core.control;

import java.util.Map;

/**
 * The budget of a workspace in tokens. {@code paidIn - settled - outstanding - stranded} is the
 * unallotted rest; {@code outstandingByRouter} maps an incarnation to its open allotment.
 */
public record BudgetView(
    String workspace,
    long paidIn,
    long settled,
    long outstanding,
    long stranded,
    Map<String, Long> outstandingByRouter) {}
