package org.goldcrestfall.core.limit;

/**
 * Recognizes a body that is sent in very many very small parts. Each part costs the same processor
 * time whatever its size, so such a body keeps other requests from the processor.
 */
public final class FragmentLimit {

  /** Number of parts from which on their size is taken into account. */
  static final int UNLIMITED_PARTS = 2_048;

  /** Average size that parts must have; shorter than the event of one token. */
  static final int MIN_AVERAGE_BYTES = 8;

  private long parts;
  private long bytes;

  /** Records a part and returns whether the body may go on. */
  public boolean onPart(int partBytes) {
    parts++;
    bytes += partBytes;
    return parts <= UNLIMITED_PARTS || bytes / parts >= MIN_AVERAGE_BYTES;
  }
}
