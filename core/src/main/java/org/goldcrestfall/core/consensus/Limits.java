package org.goldcrestfall.core.consensus;

import static com.google.common.base.Preconditions.checkArgument;

/**
 * Bounds on messages and memory.
 *
 * @param appendBytes the size from which on a message takes no further entry
 * @param chunkBytes the size of the parts of a snapshot
 * @param retainedEntries the entries that stay in memory behind a snapshot, for slow followers
 */
record Limits(long appendBytes, int chunkBytes, int retainedEntries) {

  static final Limits DEFAULT = new Limits(1 << 20, 256 << 10, 1_000);

  Limits {
    checkArgument(appendBytes > 0 && chunkBytes > 0 && retainedEntries >= 0, "bad limits");
  }
}
