package org.goldcrestfall.daemon.storage;

import java.io.IOException;

/**
 * Thrown when data that had been synced to disk cannot be read back. The member must not vote or
 * acknowledge entries based on the remaining data: it quarantines its files and rejoins the group
 * as a learner.
 */
public final class DamagedDataException extends IOException {

  private final String file;
  private final long offset;
  private final long index;

  /**
   * Creates an exception that states the position of the damage.
   *
   * @param file the name of the damaged file
   * @param offset the byte offset in the file
   * @param index the log index that was expected at the offset, or 0 if the file is not a segment
   *     of the log
   * @param reason what is wrong with the data
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

  /** Returns the log index that was expected at the offset, or 0 outside the log. */
  public long index() {
    return index;
  }
}
