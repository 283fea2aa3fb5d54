package org.goldcrestfall.daemon.storage;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.util.Arrays;
import java.util.Optional;
import java.util.zip.CRC32C;

/**
 * Replaces files atomically and durably: writes a temporary file, syncs it, renames it and syncs
 * the folder. Each file starts with a CRC32C checksum of its content.
 */
public final class AtomicFile {

  private static final String TEMPORARY_SUFFIX = ".tmp";
  private static final int HEADER_BYTES = 4;

  private AtomicFile() {}

  /** Replaces the content of a file; it is durable when this method returns. */
  public static void write(Disk disk, String name, byte[] content) throws IOException {
    ByteBuffer bytes = ByteBuffer.allocate(HEADER_BYTES + content.length);
    bytes.putInt(checksum(content)).put(content).flip();
    try (Disk.DiskFile file = disk.open(name + TEMPORARY_SUFFIX)) {
      file.truncate(0);
      file.write(0, bytes);
      file.sync();
    }
    disk.rename(name + TEMPORARY_SUFFIX, name);
    disk.syncFolder();
  }

  /**
   * Returns the content of a file, or empty if it does not exist.
   *
   * @throws DamagedDataException if the checksum is missing or does not match
   */
  public static Optional<byte[]> read(Disk disk, String name) throws IOException {
    if (!disk.list().contains(name)) {
      return Optional.empty();
    }
    byte[] bytes = disk.read(name);
    if (bytes.length < HEADER_BYTES) {
      throw new DamagedDataException(name, 0, 0, "shorter than its checksum");
    }
    byte[] content = Arrays.copyOfRange(bytes, HEADER_BYTES, bytes.length);
    if (ByteBuffer.wrap(bytes).getInt() != checksum(content)) {
      throw new DamagedDataException(name, 0, 0, "the checksum does not match");
    }
    return Optional.of(content);
  }

  private static int checksum(byte[] content) {
    CRC32C crc = new CRC32C();
    crc.update(content);
    return (int) crc.getValue();
  }
}
