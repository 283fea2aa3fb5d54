package org.goldcrestfall.daemon.peer;

import static java.nio.charset.StandardCharsets.UTF_8;
import static java.nio.file.StandardCopyOption.ATOMIC_MOVE;
import static java.nio.file.StandardOpenOption.CREATE;
import static java.nio.file.StandardOpenOption.READ;
import static java.nio.file.StandardOpenOption.TRUNCATE_EXISTING;
import static java.nio.file.StandardOpenOption.WRITE;

import com.google.common.flogger.FluentLogger;
import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.channels.FileChannel;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Arrays;
import java.util.zip.CRC32C;
import org.goldcrestfall.core.control.ConfigView;

/**
 * Stores the configuration in a file: a line with the CRC32C of the JSON in hexadecimal, followed
 * by the JSON. The file is replaced atomically, and both the file and its folder are synced, so
 * that a crash leaves either the old or the new configuration.
 */
final class ConfigFile implements ConfigStore {

  private static final FluentLogger logger = FluentLogger.forEnclosingClass();

  /** Length of the checksum line: 8 hexadecimal digits and a line feed. */
  private static final int CHECKSUM_BYTES = 9;

  private final Path folder;
  private final Path file;

  ConfigFile(Path folder) {
    this.folder = folder;
    file = folder.resolve("config-view.json");
  }

  @Override
  public ConfigView load() throws IOException {
    Files.createDirectories(folder);
    if (!Files.exists(file)) {
      return ConfigView.EMPTY;
    }
    byte[] bytes = Files.readAllBytes(file);
    byte[] json = Arrays.copyOfRange(bytes, Math.min(CHECKSUM_BYTES, bytes.length), bytes.length);
    if (!new String(bytes, UTF_8).startsWith(checksumLine(json))) {
      logger.atSevere().log(
          "peer: %s is corrupted; fetching the configuration from the control group", file);
      return ConfigView.EMPTY;
    }
    return ConfigCodec.readView(json);
  }

  @Override
  public void save(ConfigView view) throws IOException {
    byte[] json = ConfigCodec.toJson(view);
    Path temporary = folder.resolve("config-view.tmp");
    try (FileChannel c = FileChannel.open(temporary, CREATE, WRITE, TRUNCATE_EXISTING)) {
      writeAll(c, ByteBuffer.wrap(checksumLine(json).getBytes(UTF_8)));
      writeAll(c, ByteBuffer.wrap(json));
      c.force(true);
    }
    Files.move(temporary, file, ATOMIC_MOVE);
    try (FileChannel c = FileChannel.open(folder, READ)) {
      c.force(true);
    }
  }

  private static void writeAll(FileChannel c, ByteBuffer bytes) throws IOException {
    while (bytes.hasRemaining()) {
      c.write(bytes);
    }
  }

  private static String checksumLine(byte[] json) {
    CRC32C crc = new CRC32C();
    crc.update(json);
    return String.format("%08x\n", crc.getValue());
  }
}
