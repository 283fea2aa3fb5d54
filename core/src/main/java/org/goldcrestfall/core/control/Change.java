package org.goldcrestfall.core.control;

/**
 * A planned change of one object. {@code object} is a path such as {@code workspace/mill}. {@code
 * before} and {@code after} are JSON texts, null where the object does not exist. {@code
 * baseRevision} is the object's revision when the plan was created.
 */
public record Change(String object, String before, String after, long baseRevision) {}
