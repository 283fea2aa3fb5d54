package org.goldcrestfall.core.control;

/**
 * An entry of the audit trail. {@code revision} is the log index of the operation, {@code before}
 * and {@code after} are JSON texts of the object, null where it does not exist.
 */
public record AuditEntry(
    long revision,
    long atMillis,
    String operator,
    long planId,
    String action,
    String object,
    String before,
    String after) {}
