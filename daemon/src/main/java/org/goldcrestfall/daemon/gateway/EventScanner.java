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

  private static final byte[] ID_FIELD = "id:".getBytes(US_ASCII);

  private ByteBuf incompleteEvent = Unpooled.EMPTY_BUFFER;
  private long events;
  private String lastEventId = "";

  /** Adds bytes without releasing them. Returns the events that are complete now, if any. */
  ByteBuf feed(ByteBuf bytes, ByteBufAllocator allocator) {
    ByteBuf buffer = allocator.buffer(incompleteEvent.readableBytes() + bytes.readableBytes());
    buffer
        .writeBytes(incompleteEvent)
        .writeBytes(bytes, bytes.readerIndex(), bytes.readableBytes());
    incompleteEvent.release();
    int completeEnd = buffer.readerIndex();
    int lineStart = completeEnd;
    int idStart = -1;
    int idEnd = -1;
    for (int i = buffer.readerIndex(); i < buffer.writerIndex(); i++) {
      if (buffer.getByte(i) != '\n') {
        continue;
      }
      int lineEnd = i > lineStart && buffer.getByte(i - 1) == '\r' ? i - 1 : i;
      if (startsWithId(buffer, lineStart, lineEnd)) {
        idStart = lineStart + ID_FIELD.length;
        idEnd = lineEnd;
      }
      if (lineEnd == lineStart) {
        completeEnd = i + 1;
        events++;
        if (idStart >= 0) {
          lastEventId = buffer.toString(idStart, idEnd - idStart, US_ASCII).trim();
          idStart = -1;
        }
      }
      lineStart = i + 1;
    }
    ByteBuf completeEvents = buffer.readRetainedSlice(completeEnd - buffer.readerIndex());
    incompleteEvent = buffer;
    return completeEvents;
  }

  private static boolean startsWithId(ByteBuf buf, int from, int to) {
    if (to - from < ID_FIELD.length) {
      return false;
    }
    for (int i = 0; i < ID_FIELD.length; i++) {
      if (buf.getByte(from + i) != ID_FIELD[i]) {
        return false;
      }
    }
    return true;
  }

  /** Returns whether the bytes after the last complete event are longer than any event may be. */
  boolean isEventTooLong() {
    return incompleteEvent.readableBytes() > MAX_EVENT_BYTES;
  }

  /** Returns whether there are bytes after the last complete event. */
  boolean hasIncompleteEvent() {
    return incompleteEvent.isReadable();
  }

  /** Discards the bytes after the last complete event. */
  void discardIncompleteEvent() {
    incompleteEvent.release();
    incompleteEvent = Unpooled.EMPTY_BUFFER;
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
