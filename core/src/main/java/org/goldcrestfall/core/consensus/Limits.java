package org.goldcrestfall.core.consensus;

import static com.google.common.base.Preconditions.checkArgument;

/**
 * Bounds on the size of messages and of the log in memory.
 *
 * @param appendBytes the size in bytes at which no further entry is added to a message
 * @param chunkBytes the size of a snapshot chunk in bytes
 * @param retainedEntries the number of entries before a snapshot that stay in memory, so that slow
 *     followers need no snapshot
 */
record Limits(long appendBytes, int chunkBytes, int retainedEntries) {

  static final Limits DEFAULT = new Limits(1 << 20, 256 << 10, 1_000);

  Limits {
    checkArgument(
        appendBytes > 0 && chunkBytes > 0 && retainedEntries >= 0,
        "appendBytes and chunkBytes must be positive and retainedEntries not negative");
  }
}
