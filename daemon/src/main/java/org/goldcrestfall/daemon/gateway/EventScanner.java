package org.goldcrestfall.daemon.gateway;

import static java.nio.charset.StandardCharsets.US_ASCII;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.ByteBufAllocator;
import io.netty.buffer.Unpooled;

/**
 * Separates the complete events of a stream of server-sent events from the bytes after them, which
 * are kept until the rest of their event arrives. Counts the complete events and records the id of
 * the last one that has an id.
 */
final class EventScanner {

  /** Length of an event from which on a stream is taken to be no stream of events. */
  static final int MAX_EVENT_BYTES = 256 * 1024;

  private static final byte NEWLINE = '\n';
  private static final byte[] ID_FIELD = "id:".getBytes(US_ASCII);

  private ByteBuf incompleteEvent = Unpooled.EMPTY_BUFFER;
  private long events;
  private String lastEventId = "";

  // Positions count from the start of the incomplete event, so that no byte is searched twice.
  private int lineStart;
  private int idStart = -1;
  private int idEnd = -1;

  /** Adds bytes without releasing them. Returns the events that are complete now, if any. */
  ByteBuf feed(ByteBuf bytes, ByteBufAllocator allocator) {
    int kept = incompleteEvent.readableBytes();
    int offset = bytes.readerIndex() - kept;
    int completeEnd = 0;
    int newline = bytes.indexOf(bytes.readerIndex(), bytes.writerIndex(), NEWLINE);
    while (newline >= 0) {
      int i = newline - offset;
      int lineEnd = i > lineStart && byteAt(bytes, i - 1) == '\r' ? i - 1 : i;
      if (startsWithId(bytes, lineEnd)) {
        idStart = lineStart + ID_FIELD.length;
        idEnd = lineEnd;
      }
      if (lineEnd == lineStart) {
        completeEnd = i + 1;
        events++;
        recordId(bytes);
      }
      lineStart = i + 1;
      newline = bytes.indexOf(newline + 1, bytes.writerIndex(), NEWLINE);
    }
    if (completeEnd == 0) {
      append(bytes, bytes.readerIndex(), allocator);
      return Unpooled.EMPTY_BUFFER;
    }
    final ByteBuf completeEvents =
        allocator
            .buffer(completeEnd)
            .writeBytes(incompleteEvent)
            .writeBytes(bytes, bytes.readerIndex(), completeEnd - kept);
    releaseIncompleteEvent();
    append(bytes, completeEnd + offset, allocator);
    lineStart -= completeEnd;
    idStart -= idStart < 0 ? 0 : completeEnd;
    idEnd -= completeEnd;
    return completeEvents;
  }

  private byte byteAt(ByteBuf bytes, int position) {
    int kept = incompleteEvent.readableBytes();
    return position < kept
        ? incompleteEvent.getByte(position)
        : bytes.getByte(bytes.readerIndex() + position - kept);
  }

  private boolean startsWithId(ByteBuf bytes, int lineEnd) {
    if (lineEnd - lineStart < ID_FIELD.length) {
      return false;
    }
    for (int i = 0; i < ID_FIELD.length; i++) {
      if (byteAt(bytes, lineStart + i) != ID_FIELD[i]) {
        return false;
      }
    }
    return true;
  }

  private void recordId(ByteBuf bytes) {
    if (idStart < 0) {
      return;
    }
    byte[] id = new byte[idEnd - idStart];
    for (int i = 0; i < id.length; i++) {
      id[i] = byteAt(bytes, idStart + i);
    }
    lastEventId = new String(id, US_ASCII).trim();
    idStart = -1;
  }

  /** Keeps a copy, which has no part in the buffers of complete events. */
  private void append(ByteBuf bytes, int from, ByteBufAllocator allocator) {
    int length = bytes.writerIndex() - from;
    if (length == 0) {
      return;
    }
    if (!incompleteEvent.isReadable()) {
      incompleteEvent = allocator.buffer(length);
    }
    incompleteEvent.writeBytes(bytes, from, length);
  }

  private void releaseIncompleteEvent() {
    incompleteEvent.release();
    incompleteEvent = Unpooled.EMPTY_BUFFER;
  }

  /** Returns whether the bytes after the last complete event are longer than any event may be. */
  boolean isEventTooLong() {
    return incompleteEvent.readableBytes() > MAX_EVENT_BYTES;
  }

  /** Returns the number of bytes after the last complete event. */
  int incompleteBytes() {
    return incompleteEvent.readableBytes();
  }

  /** Returns whether there are bytes after the last complete event. */
  boolean hasIncompleteEvent() {
    return incompleteEvent.isReadable();
  }

  /** Discards the bytes after the last complete event. */
  void discardIncompleteEvent() {
    releaseIncompleteEvent();
    lineStart = 0;
    idStart = -1;
  }

  /** Returns the number of complete events. */
  long events() {
    return events;
  }

  /** Returns the id of the last complete event that had one, or an empty string. */
  String lastEventId() {
    return lastEventId;
  }
}
