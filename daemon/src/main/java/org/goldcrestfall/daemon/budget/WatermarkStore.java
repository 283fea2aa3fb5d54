package org.goldcrestfall.daemon.budget;

import com.fasterxml.jackson.core.type.TypeReference;
import com.google.common.flogger.FluentLogger;
import java.io.Closeable;
import java.io.IOException;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import org.goldcrestfall.core.common.Incarnation;
import org.goldcrestfall.daemon.http.Json;
import org.goldcrestfall.daemon.storage.AtomicFile;
import org.goldcrestfall.daemon.storage.Disk;

/**
 * Stores the watermarks of this host's incarnations on disk, in one file for each incarnation. A
 * watermark is the highest use of a workspace that the incarnation may have reached. The file of an
 * incarnation is written before the incarnation uses its first token. A missing file may have been
 * lost, so it does not prove that nothing was used.
 */
public final class WatermarkStore implements Closeable {

  private static final FluentLogger logger = FluentLogger.forEnclosingClass();
  private static final String FILE_PREFIX = "watermark-";

  private final Disk disk;
  private final String host;

  /** Creates the store on a disk, which {@link #close} closes. */
  public WatermarkStore(Disk disk, String host) {
    this.disk = disk;
    this.host = host;
  }

  /** Writes the watermarks of an incarnation. They are durable when this method returns. */
  public void write(Incarnation i, Map<String, Long> watermarks) throws IOException {
    AtomicFile.write(disk, FILE_PREFIX + i.boot(), Json.bytes(new TreeMap<>(watermarks)));
  }

  /** Returns the watermarks of earlier incarnations that are still on disk. */
  public Map<Incarnation, Map<String, Long>> earlierThan(Incarnation self) throws IOException {
    Map<Incarnation, Map<String, Long>> earlier = new TreeMap<>();
    for (String name : disk.list()) {
      if (!name.matches(FILE_PREFIX + "[0-9]{1,18}")) {
        continue;
      }
      long boot = Long.parseLong(name.substring(FILE_PREFIX.length()));
      if (boot >= self.boot()) {
        continue;
      }
      read(name).ifPresent(watermarks -> earlier.put(new Incarnation(host, boot), watermarks));
    }
    return earlier;
  }

  /**
   * Returns the watermarks in a file, or nothing if the file is missing or damaged. A damaged file
   * does not prove which tokens are unused, so the tokens of its incarnation stay stranded.
   */
  private Optional<Map<String, Long>> read(String name) {
    try {
      Optional<byte[]> bytes = AtomicFile.read(disk, name);
      return bytes.isEmpty()
          ? Optional.empty()
          : Optional.of(
              Json.mapper().readValue(bytes.get(), new TypeReference<Map<String, Long>>() {}));
    } catch (IOException e) {
      logger.atWarning().log("budget: watermark file %s cannot be read: %s", name, e.getMessage());
      return Optional.empty();
    }
  }

  /** Deletes the watermarks of an incarnation that the control group has closed. */
  public void delete(Incarnation i) throws IOException {
    disk.delete(FILE_PREFIX + i.boot());
  }

  @Override
  public void close() throws IOException {
    disk.close();
  }
}
