package org.goldcrestfall.daemon.site;

import java.io.ByteArrayInputStream;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.util.zip.Deflater;
import java.util.zip.DeflaterOutputStream;
import java.util.zip.InflaterInputStream;

/** Compresses documents with Deflate before they are stored and sent. */
final class Compression {

  private Compression() {}

  static byte[] compress(byte[] plain) {
    ByteArrayOutputStream out = new ByteArrayOutputStream(plain.length / 4 + 64);
    Deflater deflater = new Deflater(Deflater.BEST_SPEED);
    try (DeflaterOutputStream deflating = new DeflaterOutputStream(out, deflater)) {
      deflating.write(plain);
    } catch (IOException e) {
      throw new UncheckedIOException(e);
    } finally {
      deflater.end();
    }
    return out.toByteArray();
  }

  static byte[] decompress(byte[] compressed) {
    try (var in = new InflaterInputStream(new ByteArrayInputStream(compressed))) {
      return in.readAllBytes();
    } catch (IOException e) {
      throw new UncheckedIOException(e);
    }
  }
}
