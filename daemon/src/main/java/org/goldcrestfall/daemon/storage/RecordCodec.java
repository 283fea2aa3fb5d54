package org.goldcrestfall.daemon.storage;

import java.nio.ByteBuffer;
import java.util.Arrays;
import java.util.List;
import java.util.zip.CRC32C;
import org.goldcrestfall.core.consensus.Entry;

/**
 * The records of a log segment: length (4 bytes), CRC32C (4), term (8), index (8), then a type byte
 * and the payload, which the length counts. A record of type {@code MARK} starts each batch, so a
 * mark behind unreadable bytes proves that those bytes had been synced.
 */
final class RecordCodec {

  static final int HEADER_BYTES = 24;
  private static final byte BATCH_MARKER = 127;
  private static final Entry.Type[] TYPES = Entry.Type.values();

  /** A record at an offset; {@code entry} is null for a mark. */
  record ScannedRecord(int endOffset, Entry entry) {}

  private RecordCodec() {}

  /** Returns a mark and the records of a batch. */
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

  /** Returns the record at an offset, or null if there is no intact one. */
  static ScannedRecord scan(byte[] bytes, int offset) {
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
      return new ScannedRecord(end, null);
    }
    byte[] payload = Arrays.copyOfRange(bytes, offset + HEADER_BYTES + 1, end);
    return new ScannedRecord(end, new Entry(term, index, TYPES[type], payload));
  }

  /** Returns whether an intact mark follows an offset. */
  static boolean hasBatchMarkerAfter(byte[] bytes, int offset) {
    for (int i = offset + 1; i < bytes.length; i++) {
      ScannedRecord scanned = scan(bytes, i);
      if (scanned != null && scanned.entry() == null) {
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
