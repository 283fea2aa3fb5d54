package org.goldcrestfall.daemon.storage;

import java.nio.ByteBuffer;
import java.util.Arrays;
import java.util.List;
import java.util.zip.CRC32C;
import org.goldcrestfall.core.consensus.Entry;

/**
 * Encodes and decodes the records of a log segment. A record consists of a length (4 bytes), a
 * CRC32C checksum (4), the term (8), the index (8), a type (1) and the payload; the length counts
 * the type and the payload. Each batch starts with a batch marker and is written only after the
 * batch before it was synced, so a batch marker after unreadable bytes proves that those bytes had
 * been synced.
 */
final class RecordCodec {

  static final int HEADER_BYTES = 24;
  private static final byte BATCH_MARKER = 127;
  private static final Entry.Type[] TYPES = Entry.Type.values();

  /**
   * A decoded record.
   *
   * @param endOffset the offset of the first byte after the record
   * @param entry the log entry, or null for a batch marker
   */
  record DecodedRecord(int endOffset, Entry entry) {}

  private RecordCodec() {}

  /** Encodes a batch of at least one entry, with a batch marker before it. */
  static ByteBuffer encode(List<Entry> batch) {
    int size = HEADER_BYTES + 1;
    for (Entry entry : batch) {
      size += HEADER_BYTES + 1 + entry.payload().length;
    }
    ByteBuffer out = ByteBuffer.allocate(size);
    put(out, batch.get(0).term(), batch.get(0).index(), BATCH_MARKER, new byte[0]);
    for (Entry entry : batch) {
      put(out, entry.term(), entry.index(), (byte) entry.type().ordinal(), entry.payload());
    }
    return out.flip();
  }

  private static void put(ByteBuffer out, long term, long index, byte type, byte[] payload) {
    int start = out.position();
    out.putInt(payload.length + 1).putInt(0).putLong(term).putLong(index).put(type).put(payload);
    out.putInt(start + 4, checksum(out.array(), start, payload.length + 1));
  }

  /** Decodes the record at an offset; returns null if there is no intact record. */
  static DecodedRecord decode(byte[] bytes, int offset) {
    if (bytes.length - offset < HEADER_BYTES + 1) {
      return null;
    }
    ByteBuffer in = ByteBuffer.wrap(bytes, offset, bytes.length - offset);
    final int length = in.getInt();
    final int crc = in.getInt();
    if (length < 1 || length > bytes.length - offset - HEADER_BYTES) {
      return null;
    }
    final long term = in.getLong();
    final long index = in.getLong();
    final byte type = in.get();
    if (term <= 0 || index <= 0 || type != BATCH_MARKER && (type < 0 || type >= TYPES.length)) {
      return null;
    }
    if (crc != checksum(bytes, offset, length)) {
      return null;
    }
    int end = offset + HEADER_BYTES + length;
    if (type == BATCH_MARKER) {
      return new DecodedRecord(end, null);
    }
    byte[] payload = Arrays.copyOfRange(bytes, offset + HEADER_BYTES + 1, end);
    return new DecodedRecord(end, new Entry(term, index, TYPES[type], payload));
  }

  /** Returns whether there is an intact batch marker at any byte after an offset. */
  static boolean hasBatchMarkerAfter(byte[] bytes, int offset) {
    for (int i = offset + 1; i < bytes.length; i++) {
      DecodedRecord decoded = decode(bytes, i);
      if (decoded != null && decoded.entry() == null) {
        return true;
      }
    }
    return false;
  }

  private static int checksum(byte[] bytes, int offset, int length) {
    CRC32C crc = new CRC32C();
    crc.update(bytes, offset, 4);
    crc.update(bytes, offset + 8, HEADER_BYTES - 8 + length);
    return (int) crc.getValue();
  }
}
