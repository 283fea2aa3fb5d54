package org.goldcrestfall.daemon.storage;

import static java.nio.file.StandardOpenOption.CREATE;
import static java.nio.file.StandardOpenOption.READ;
import static java.nio.file.StandardOpenOption.WRITE;

import com.google.common.flogger.FluentLogger;
import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.channels.FileChannel;
import java.nio.channels.FileLock;
import java.nio.channels.OverlappingFileLockException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardCopyOption;
import java.util.List;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.TimeUnit;
import java.util.stream.Stream;

/** A folder of the file system; a lock file keeps other processes from using it. */
public final class FolderDisk implements Disk {

  private static final FluentLogger logger = FluentLogger.forEnclosingClass();
  private static final String LOCK_FILE = "lock";

  private static final long CLOSE_TIMEOUT_SECONDS = 5;

  private final Path folder;
  private final ExecutorService deletions =
      Executors.newSingleThreadExecutor(
          r -> {
            Thread thread = new Thread(r, "disk-deletions");
            thread.setDaemon(true);
            return thread;
          });
  private final FileChannel lockChannel;

  /**
   * Creates the folder if it is absent, and locks it.
   *
   * @throws IOException if another process holds the lock or the folder cannot be accessed
   */
  public FolderDisk(Path folder) throws IOException {
    this.folder = folder;
    Files.createDirectories(folder);
    lockChannel = FileChannel.open(folder.resolve(LOCK_FILE), CREATE, WRITE);
    if (!tryLock(lockChannel)) {
      lockChannel.close();
      throw new IOException("data folder " + folder + " is in use by another process");
    }
  }

  private static boolean tryLock(FileChannel channel) throws IOException {
    try {
      FileLock held = channel.tryLock();
      return held != null;
    } catch (OverlappingFileLockException e) {
      return false;
    }
  }

  @Override
  public List<String> list() throws IOException {
    try (Stream<Path> files = Files.list(folder)) {
      return files
          .filter(Files::isRegularFile)
          .map(p -> p.getFileName().toString())
          .filter(n -> !n.equals(LOCK_FILE))
          .sorted()
          .toList();
    }
  }

  @Override
  public DiskFile open(String name) throws IOException {
    return new ChannelFile(FileChannel.open(folder.resolve(name), CREATE, READ, WRITE));
  }

  @Override
  public byte[] read(String name) throws IOException {
    return Files.readAllBytes(folder.resolve(name));
  }

  @Override
  public void rename(String from, String to) throws IOException {
    Files.move(folder.resolve(from), folder.resolve(to), StandardCopyOption.ATOMIC_MOVE);
  }

  @Override
  public void delete(String name) throws IOException {
    Files.deleteIfExists(folder.resolve(name));
  }

  @Override
  public void deleteLater(String name) {
    deletions.execute(
        () -> {
          try {
            delete(name);
          } catch (IOException e) {
            logger.atWarning().log("storage: could not delete file %s: %s", name, e.getMessage());
          }
        });
  }

  @Override
  public void syncFolder() throws IOException {
    try (FileChannel channel = FileChannel.open(folder, READ)) {
      channel.force(true);
    }
  }

  @Override
  public void close() throws IOException {
    deletions.shutdownNow();
    try {
      // A process that opens the folder next must not have files deleted while it reads them.
      deletions.awaitTermination(CLOSE_TIMEOUT_SECONDS, TimeUnit.SECONDS);
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
    lockChannel.close();
  }

  private record ChannelFile(FileChannel channel) implements DiskFile {

    @Override
    public long size() throws IOException {
      return channel.size();
    }

    @Override
    public void write(long offset, ByteBuffer bytes) throws IOException {
      for (long position = offset; bytes.hasRemaining(); ) {
        position += channel.write(bytes, position);
      }
    }

    @Override
    public void truncate(long size) throws IOException {
      channel.truncate(size);
    }

    @Override
    public void sync() throws IOException {
      // Without metadata, force() is an fdatasync(), which still makes the new file length durable.
      channel.force(false);
    }

    @Override
    public void close() throws IOException {
      channel.close();
    }
  }
}
