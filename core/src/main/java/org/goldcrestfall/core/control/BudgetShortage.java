package org.goldcrestfall.core.control;

/**
 * A recall of allotted tokens in a workspace, because the tokens that its routers lack ({@code
 * shortage}) exceed its unallotted tokens. Routers return the tokens that they do not need
 * immediately.
 */
public record BudgetShortage(String workspace, long unallotted, long shortage) {}
