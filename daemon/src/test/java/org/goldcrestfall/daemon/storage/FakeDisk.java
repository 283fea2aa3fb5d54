package org.goldcrestfall.daemon.storage;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Random;
import java.util.TreeMap;

/**
 * An in-memory disk that keeps written and durable content separately. A crash keeps all synced
 * bytes and a random selection of the unsynced blocks. Writes and syncs can be made to fail. A file
 * that is deleted with {@link #deleteLater} remains until a crash, which deletes it or not at
 * random.
 */
public final class FakeDisk implements Disk {

  private static final int BLOCK_BYTES = 64;

  private static final class Content {
    private byte[] written = new byte[0];
    private byte[] durable = new byte[0];
  }

  private final List<String> pendingDeletions = new ArrayList<>();
  private final TreeMap<String, Content> files = new TreeMap<>();
  private TreeMap<String, Content> durableFiles = new TreeMap<>();
  private long capacityBytes = Long.MAX_VALUE;
  private boolean refusesWrites;
  private Throwable nextWriteFailure;
  private int syncsToFail;
  private int syncCount;

  /** Limits the total size of all files in bytes. */
  public synchronized void setCapacity(long bytes) {
    capacityBytes = bytes;
  }

  /** Makes the disk refuse all writes and new files, as if it were full. */
  public synchronized void setRefusesWrites(boolean refuses) {
    refusesWrites = refuses;
  }

  private void checkNotFull() throws IOException {
    if (refusesWrites) {
      throw new IOException("No space left on device");
    }
  }

  /** Makes the next write fail with an {@link IOException} or an {@link Error}. */
  public synchronized void failNextWrite(Throwable failure) {
    nextWriteFailure = failure;
  }

  private void throwNextWriteFailure() throws IOException {
    Throwable failure = nextWriteFailure;
    nextWriteFailure = null;
    if (failure instanceof IOException e) {
      throw e;
    }
    if (failure instanceof Error e) {
      throw e;
    }
  }

  /** Makes the next {@code count} file syncs fail without making any byte durable. */
  public synchronized void failNextSyncs(int count) {
    syncsToFail = count;
  }

  /** Returns the number of file syncs so far, failed ones included. */
  public synchronized int syncCount() {
    return syncCount;
  }

  /** Returns the total size of all files in bytes. */
  public synchronized long usedBytes() {
    return files.values().stream().mapToLong(c -> c.written.length).sum();
  }

  /** Simulates a power failure: a random selection of the unsynced blocks becomes durable. */
  public synchronized void crash(Random random) {
    for (Content c : durableFiles.values()) {
      byte[] after = Arrays.copyOf(c.durable, Math.max(c.durable.length, c.written.length));
      int end = c.durable.length;
      for (int offset = 0; offset < c.written.length; offset += BLOCK_BYTES) {
        int length = Math.min(BLOCK_BYTES, c.written.length - offset);
        if (random.nextBoolean()) {
          System.arraycopy(c.written, offset, after, offset, length);
          end = Math.max(end, offset + length);
        }
      }
      c.durable = Arrays.copyOf(after, end);
      c.written = c.durable.clone();
    }
    files.clear();
    files.putAll(durableFiles);
    pendingDeletions.stream().filter(n -> random.nextBoolean()).forEach(files::remove);
    pendingDeletions.clear();
  }

  /** Inverts bits of a byte of a file and makes the file durable. */
  public synchronized void damage(String name, int offset) {
    Content c = files.get(name);
    c.written[offset] ^= 0x55;
    c.durable = c.written.clone();
  }

  @Override
  public synchronized List<String> list() {
    return List.copyOf(files.keySet());
  }

  @Override
  public synchronized DiskFile open(String name) throws IOException {
    if (!files.containsKey(name)) {
      checkNotFull();
    }
    return new OpenFile(files.computeIfAbsent(name, n -> new Content()));
  }

  @Override
  public synchronized byte[] read(String name) {
    return files.get(name).written.clone();
  }

  @Override
  public synchronized void rename(String from, String to) {
    files.put(to, files.remove(from));
  }

  @Override
  public synchronized void delete(String name) {
    files.remove(name);
  }

  @Override
  public synchronized void deleteLater(String name) {
    pendingDeletions.add(name);
  }

  @Override
  public synchronized void syncFolder() {
    durableFiles = new TreeMap<>(files);
  }

  @Override
  public void close() {}

  private final class OpenFile implements DiskFile {

    private final Content content;

    OpenFile(Content content) {
      this.content = content;
    }

    @Override
    public long size() {
      synchronized (FakeDisk.this) {
        return content.written.length;
      }
    }

    @Override
    public void write(long offset, ByteBuffer bytes) throws IOException {
      synchronized (FakeDisk.this) {
        checkNotFull();
        throwNextWriteFailure();
        int end = (int) offset + bytes.remaining();
        int freeBytes = (int) Math.min(bytes.remaining(), Math.max(0, capacityBytes - usedBytes()));
        boolean full = end > content.written.length && freeBytes < bytes.remaining();
        int length = full ? freeBytes : bytes.remaining();
        int size = Math.max(content.written.length, (int) offset + length);
        content.written = Arrays.copyOf(content.written, size);
        bytes.get(content.written, (int) offset, length);
        if (full) {
          throw new IOException("No space left on device");
        }
      }
    }

    @Override
    public void truncate(long size) {
      synchronized (FakeDisk.this) {
        if (size < content.written.length) {
          content.written = Arrays.copyOf(content.written, (int) size);
        }
      }
    }

    @Override
    public void sync() throws IOException {
      synchronized (FakeDisk.this) {
        syncCount++;
        if (syncsToFail > 0) {
          syncsToFail--;
          throw new IOException("Input/output error");
        }
        content.durable = content.written.clone();
      }
    }

    @Override
    public void close() {}
  }
}
