package org.goldcrestfall.daemon.storage;

import java.io.IOException;

/**
 * Synced data can no longer be read. The member must not vote or acknowledge with what is left; it
 * sets its files aside and joins again as a learner.
 */
public final class DamagedDataException extends IOException {

  private final String file;
  private final long offset;
  private final long index;

  /**
   * Names the place of the damage.
   *
   * @param offset the byte offset in the file
   * @param index the log index that was expected there
   */
  public DamagedDataException(String file, long offset, long index, String reason) {
    super("%s is damaged at offset %d, index %d: %s".formatted(file, offset, index, reason));
    this.file = file;
    this.offset = offset;
    this.index = index;
  }

  /** Returns the name of the damaged file. */
  public String file() {
    return file;
  }

  /** Returns the byte offset of the damage. */
  public long offset() {
    return offset;
  }

  /** Returns the log index that was expected at the offset. */
  public long index() {
    return index;
  }
}
