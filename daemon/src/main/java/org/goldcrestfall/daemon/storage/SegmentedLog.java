package org.goldcrestfall.daemon.storage;

import java.io.Closeable;
import java.io.IOException;
import java.nio.ByteBuffer;
import java.util.ArrayList;
import java.util.List;
import org.goldcrestfall.core.consensus.Entry;

/**
 * The log on disk, in segments that are named by their first index. After a failed write the bytes
 * behind the last sync are cut off before the next one, because a failed sync says nothing about
 * what is on disk.
 */
final class SegmentedLog implements Closeable {

  static final String PREFIX = "log-";
  static final long SEGMENT_BYTES = 4 << 20;

  private record Content(List<Entry> entries, int end, boolean whole) {}

  private final Disk disk;
  private final long segmentBytes;
  private final List<Long> segments = new ArrayList<>();
  private Disk.DiskFile file;
  private long offset;
  private long lastIndex;
  private boolean dirty;

  SegmentedLog(Disk disk, long segmentBytes) {
    this.disk = disk;
    this.segmentBytes = segmentBytes;
  }

  /**
   * Reads all segments and cuts off a torn tail. Segments that hold nothing after {@code covered}
   * were to be deleted and are left out.
   *
   * @throws DamagedLogException if bytes are unreadable that had been synced
   */
  List<Entry> load(long covered) throws IOException {
    for (String name : disk.list()) {
      if (name.startsWith(PREFIX)) {
        segments.add(Long.parseLong(name.substring(PREFIX.length())));
      }
    }
    deleteThrough(covered);
    List<Entry> entries = new ArrayList<>();
    for (int i = 0; i < segments.size(); i++) {
      long first = segments.get(i);
      if (i == 0) {
        lastIndex = first - 1;
      }
      if (first != lastIndex + 1) {
        throw new DamagedLogException(name(first), 0, lastIndex + 1, "a segment is missing");
      }
      Content content = read(first);
      boolean last = i == segments.size() - 1;
      if (!content.whole() && !last) {
        throw new DamagedLogException(
            name(first), content.end(), lastIndex + 1, "an unreadable record in a closed segment");
      }
      entries.addAll(content.entries());
      if (last) {
        openAt(first, content.end());
      }
    }
    return entries;
  }

  private Content read(long first) throws IOException {
    byte[] bytes = disk.read(name(first));
    List<Entry> entries = new ArrayList<>();
    int end = 0;
    while (end < bytes.length) {
      Records.Scanned scanned = Records.scan(bytes, end);
      if (scanned == null) {
        if (Records.hasMarkAfter(bytes, end)) {
          throw new DamagedLogException(
              name(first), end, lastIndex + 1, "an unreadable record before later batches");
        }
        return new Content(entries, end, false);
      }
      if (scanned.entry() != null) {
        if (scanned.entry().index() != lastIndex + 1) {
          throw new DamagedLogException(
              name(first), end, lastIndex + 1, "found index " + scanned.entry().index());
        }
        lastIndex++;
        entries.add(scanned.entry());
      }
      end = scanned.end();
    }
    return new Content(entries, end, true);
  }

  private void openAt(long first, long end) throws IOException {
    file = disk.open(name(first));
    offset = end;
    // Also where the length is right already: the sync of an earlier cut may have failed.
    file.truncate(end);
    file.sync();
  }

  long lastIndex() {
    return lastIndex;
  }

  /** Cuts the log before an index, appends the entries and syncs once; can be called again. */
  void write(long firstIndex, List<Entry> entries) throws IOException {
    repair();
    if (firstIndex <= lastIndex) {
      truncateFrom(firstIndex);
    }
    if (entries.isEmpty()) {
      return;
    }
    if (file == null || offset >= segmentBytes) {
      roll(entries.get(0).index());
    }
    ByteBuffer batch = Records.encode(entries);
    final int size = batch.remaining();
    dirty = true;
    file.write(offset, batch);
    file.sync();
    dirty = false;
    offset += size;
    lastIndex = entries.get(entries.size() - 1).index();
  }

  private void repair() throws IOException {
    if (dirty && file != null) {
      file.truncate(offset);
      file.sync();
    }
    dirty = false;
  }

  private void roll(long first) throws IOException {
    closeFile();
    if (segments.isEmpty() || segments.get(segments.size() - 1) != first) {
      segments.add(first);
    }
    Disk.DiskFile next = disk.open(name(first));
    try {
      next.truncate(0);
      next.sync();
      disk.syncFolder();
    } catch (IOException e) {
      next.close();
      throw e;
    }
    file = next;
    offset = 0;
  }

  private void truncateFrom(long index) throws IOException {
    while (!segments.isEmpty() && segments.get(segments.size() - 1) > index) {
      deleteLast();
    }
    disk.syncFolder();
    if (segments.isEmpty()) {
      lastIndex = index - 1;
      return;
    }
    long first = segments.get(segments.size() - 1);
    byte[] bytes = disk.read(name(first));
    int end = 0;
    for (long next = first; next < index; ) {
      Records.Scanned scanned = Records.scan(bytes, end);
      if (scanned == null) {
        throw new DamagedLogException(name(first), end, next, "an unreadable record");
      }
      end = scanned.end();
      next += scanned.entry() == null ? 0 : 1;
    }
    closeFile();
    openAt(first, end);
    lastIndex = index - 1;
  }

  /** Deletes everything; the next entry may have any index. */
  void reset(long nextLastIndex) throws IOException {
    // From the newest on, so that a crash leaves a prefix, which the snapshot outdates.
    while (!segments.isEmpty()) {
      deleteLast();
    }
    disk.syncFolder();
    lastIndex = nextLastIndex;
    dirty = false;
  }

  /** Deletes the segments that hold nothing after an index, at some later time. */
  void deleteThrough(long index) {
    while (segments.size() > 1 && segments.get(1) <= index + 1) {
      disk.deleteLater(name(segments.get(0)));
      segments.remove(0);
    }
  }

  private void deleteLast() throws IOException {
    closeFile();
    disk.delete(name(segments.get(segments.size() - 1)));
    segments.remove(segments.size() - 1);
  }

  private void closeFile() throws IOException {
    if (file != null) {
      file.close();
      file = null;
    }
  }

  @Override
  public void close() throws IOException {
    closeFile();
  }

  private static String name(long first) {
    return PREFIX + "%020d".formatted(first);
  }
}
