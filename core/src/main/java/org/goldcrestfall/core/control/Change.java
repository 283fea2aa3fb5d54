package org.goldcrestfall.core.control;

/**
 * One change of one object, as shown in a plan. {@code object} is a path such as {@code
 * workspace/mill}; {@code before} and {@code after} are JSON texts, null where the object does not
 * exist; {@code baseRevision} is the revision of the object that the plan was made against.
 */
public record Change(String object, String before, String after, long baseRevision) {}
