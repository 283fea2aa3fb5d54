package org.goldcrestfall.core.control;

/** One line of the audit trail: who changed which object when, from what to what. */
public record AuditEntry(
    long revision,
    long atMillis,
    String operator,
    long planId,
    String action,
    String object,
    String before,
    String after) {}
