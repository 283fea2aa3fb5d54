package org.goldcrestfall.daemon.gateway;

import static java.nio.charset.StandardCharsets.US_ASCII;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.ByteBufAllocator;
import io.netty.buffer.Unpooled;

/**
 * Cuts a stream of server-sent events at the ends of events, counts them and remembers the id of
 * the last whole one. Bytes behind the last end wait for the rest of their event.
 */
final class EventScanner {

  private static final byte[] ID = "id:".getBytes(US_ASCII);

  private ByteBuf incompleteEvent = Unpooled.EMPTY_BUFFER;
  private long events;
  private String lastEventId = "";

  /** Takes bytes, without releasing them, and returns those of whole events, maybe none. */
  ByteBuf feed(ByteBuf in, ByteBufAllocator allocator) {
    ByteBuf all = allocator.buffer(incompleteEvent.readableBytes() + in.readableBytes());
    all.writeBytes(incompleteEvent).writeBytes(in, in.readerIndex(), in.readableBytes());
    incompleteEvent.release();
    int end = all.readerIndex();
    int line = end;
    int idStart = -1;
    int idEnd = -1;
    for (int i = all.readerIndex(); i < all.writerIndex(); i++) {
      if (all.getByte(i) != '\n') {
        continue;
      }
      int lineEnd = i > line && all.getByte(i - 1) == '\r' ? i - 1 : i;
      if (startsWithId(all, line, lineEnd)) {
        idStart = line + ID.length;
        idEnd = lineEnd;
      }
      if (lineEnd == line) {
        end = i + 1;
        events++;
        if (idStart >= 0) {
          lastEventId = all.toString(idStart, idEnd - idStart, US_ASCII).trim();
          idStart = -1;
        }
      }
      line = i + 1;
    }
    ByteBuf whole = all.readRetainedSlice(end - all.readerIndex());
    incompleteEvent = all;
    return whole;
  }

  private static boolean startsWithId(ByteBuf buf, int from, int to) {
    if (to - from < ID.length) {
      return false;
    }
    for (int i = 0; i < ID.length; i++) {
      if (buf.getByte(from + i) != ID[i]) {
        return false;
      }
    }
    return true;
  }

  /** Returns the bytes behind the last whole event; they are no longer kept here. */
  ByteBuf takeIncompleteEvent() {
    ByteBuf out = incompleteEvent;
    incompleteEvent = Unpooled.EMPTY_BUFFER;
    return out;
  }

  /** Drops the bytes behind the last whole event. */
  void discardIncompleteEvent() {
    incompleteEvent.release();
    incompleteEvent = Unpooled.EMPTY_BUFFER;
  }

  /** Returns the number of whole events. */
  long events() {
    return events;
  }

  /** Returns the id of the last whole event that had one, or an empty string. */
  String lastEventId() {
    return lastEventId;
  }
}
