package org.goldcrestfall.core.control;

/**
 * A workspace whose routers lack more tokens ({@code shortage}) than its budget has unallotted.
 * During a shortage, routers return the tokens beyond their immediate need.
 */
public record BudgetShortage(String workspace, long unallotted, long shortage) {}
