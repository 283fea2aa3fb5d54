package org.goldcrestfall.daemon.storage;

import java.io.Closeable;
import java.io.IOException;
import java.nio.ByteBuffer;
import java.util.ArrayList;
import java.util.List;
import org.goldcrestfall.core.consensus.Entry;

/**
 * The log on disk, divided into segment files that are named by the index of their first entry.
 * Bytes of a failed write are truncated before the next write, because a failed sync leaves open
 * which of them have reached the disk.
 */
final class SegmentedLog implements Closeable {

  static final String PREFIX = "log-";
  static final long DEFAULT_SEGMENT_BYTES = 4 << 20;

  /**
   * The readable part of a segment.
   *
   * @param endOffset the offset of the first byte after the last intact record
   * @param intact whether the file ends at {@code endOffset}
   */
  private record SegmentContent(List<Entry> entries, int endOffset, boolean intact) {}

  private final Disk disk;
  private final long segmentBytes;

  /** The index of the first entry of each segment, in ascending order. */
  private final List<Long> firstIndexes = new ArrayList<>();

  private Disk.DiskFile currentFile;

  /** The length of the current file up to the end of the last synced batch. */
  private long endOffset;

  private long lastIndex;

  /** Whether the current file may contain bytes of a failed write after {@code endOffset}. */
  private boolean dirty;

  SegmentedLog(Disk disk, long segmentBytes) {
    this.disk = disk;
    this.segmentBytes = segmentBytes;
  }

  /**
   * Reads all segments. The last one is truncated at its first unreadable record, which a crash can
   * leave in a batch that was not synced.
   *
   * @param coveredIndex the last index of the snapshot; closed segments without later entries are
   *     deleted instead of read, because a crash may have interrupted their deletion
   * @throws DamagedDataException if data that had been synced is unreadable
   */
  List<Entry> load(long coveredIndex) throws IOException {
    for (String name : disk.list()) {
      if (name.startsWith(PREFIX)) {
        firstIndexes.add(Long.parseLong(name.substring(PREFIX.length())));
      }
    }
    deleteThrough(coveredIndex);
    List<Entry> entries = new ArrayList<>();
    for (int i = 0; i < firstIndexes.size(); i++) {
      long first = firstIndexes.get(i);
      if (i == 0) {
        lastIndex = first - 1;
      }
      if (first != lastIndex + 1) {
        throw new DamagedDataException(
            segmentName(first), 0, lastIndex + 1, "a segment is missing");
      }
      SegmentContent content = readSegment(first);
      boolean last = i == firstIndexes.size() - 1;
      if (!content.intact() && !last) {
        throw new DamagedDataException(
            segmentName(first),
            content.endOffset(),
            lastIndex + 1,
            "an unreadable record in a closed segment");
      }
      entries.addAll(content.entries());
      if (last) {
        openSegment(first, content.endOffset());
      }
    }
    return entries;
  }

  private SegmentContent readSegment(long first) throws IOException {
    byte[] bytes = disk.read(segmentName(first));
    List<Entry> entries = new ArrayList<>();
    int end = 0;
    while (end < bytes.length) {
      RecordCodec.DecodedRecord decoded = RecordCodec.decode(bytes, end);
      if (decoded == null) {
        if (RecordCodec.hasBatchMarkerAfter(bytes, end)) {
          throw new DamagedDataException(
              segmentName(first), end, lastIndex + 1, "an unreadable record before later batches");
        }
        return new SegmentContent(entries, end, false);
      }
      if (decoded.entry() != null) {
        if (decoded.entry().index() != lastIndex + 1) {
          throw new DamagedDataException(
              segmentName(first), end, lastIndex + 1, "found index " + decoded.entry().index());
        }
        lastIndex++;
        entries.add(decoded.entry());
      }
      end = decoded.endOffset();
    }
    return new SegmentContent(entries, end, true);
  }

  private void openSegment(long first, long end) throws IOException {
    currentFile = disk.open(segmentName(first));
    endOffset = end;
    // Truncates and syncs even if the length is right, as an earlier sync may have failed.
    currentFile.truncate(end);
    currentFile.sync();
  }

  long lastIndex() {
    return lastIndex;
  }

  /**
   * Removes all entries from an index on, appends the given entries and syncs them. After an
   * exception the call can be repeated.
   */
  void write(long firstIndex, List<Entry> entries) throws IOException {
    truncateUnsynced();
    if (firstIndex <= lastIndex) {
      truncateFrom(firstIndex);
    }
    if (entries.isEmpty()) {
      return;
    }
    if (currentFile == null || endOffset >= segmentBytes) {
      startSegment(entries.get(0).index());
    }
    ByteBuffer batch = RecordCodec.encode(entries);
    final int size = batch.remaining();
    dirty = true;
    currentFile.write(endOffset, batch);
    currentFile.sync();
    dirty = false;
    endOffset += size;
    lastIndex = entries.get(entries.size() - 1).index();
  }

  private void truncateUnsynced() throws IOException {
    if (dirty && currentFile != null) {
      currentFile.truncate(endOffset);
      currentFile.sync();
    }
    dirty = false;
  }

  private void startSegment(long first) throws IOException {
    closeFile();
    if (firstIndexes.isEmpty() || firstIndexes.get(firstIndexes.size() - 1) != first) {
      firstIndexes.add(first);
    }
    Disk.DiskFile next = disk.open(segmentName(first));
    try {
      next.truncate(0);
      next.sync();
      disk.syncFolder();
    } catch (IOException e) {
      next.close();
      throw e;
    }
    currentFile = next;
    endOffset = 0;
  }

  /**
   * Removes the entries from an index on: deletes later segments and truncates the last one left.
   */
  private void truncateFrom(long index) throws IOException {
    while (!firstIndexes.isEmpty() && firstIndexes.get(firstIndexes.size() - 1) > index) {
      deleteLastSegment();
    }
    disk.syncFolder();
    if (firstIndexes.isEmpty()) {
      lastIndex = index - 1;
      return;
    }
    long first = firstIndexes.get(firstIndexes.size() - 1);
    byte[] bytes = disk.read(segmentName(first));
    int end = 0;
    for (long next = first; next < index; ) {
      RecordCodec.DecodedRecord decoded = RecordCodec.decode(bytes, end);
      if (decoded == null) {
        throw new DamagedDataException(segmentName(first), end, next, "an unreadable record");
      }
      end = decoded.endOffset();
      next += decoded.entry() == null ? 0 : 1;
    }
    closeFile();
    openSegment(first, end);
    lastIndex = index - 1;
  }

  /** Deletes all segments; the next entry follows {@code newLastIndex}. */
  void reset(long newLastIndex) throws IOException {
    // Deletes the newest segment first, so that a crash leaves a prefix of the log, which the
    // snapshot supersedes.
    while (!firstIndexes.isEmpty()) {
      deleteLastSegment();
    }
    disk.syncFolder();
    lastIndex = newLastIndex;
    dirty = false;
  }

  /** Deletes the segments without entries after an index, in the background. */
  void deleteThrough(long index) {
    while (firstIndexes.size() > 1 && firstIndexes.get(1) <= index + 1) {
      disk.deleteLater(segmentName(firstIndexes.get(0)));
      firstIndexes.remove(0);
    }
  }

  private void deleteLastSegment() throws IOException {
    closeFile();
    disk.delete(segmentName(firstIndexes.get(firstIndexes.size() - 1)));
    firstIndexes.remove(firstIndexes.size() - 1);
  }

  private void closeFile() throws IOException {
    if (currentFile != null) {
      currentFile.close();
      currentFile = null;
    }
  }

  @Override
  public void close() throws IOException {
    closeFile();
  }

  private static String segmentName(long first) {
    return PREFIX + "%020d".formatted(first);
  }
}
