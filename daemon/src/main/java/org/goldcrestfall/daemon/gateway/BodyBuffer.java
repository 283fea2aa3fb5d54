package org.goldcrestfall.daemon.gateway;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.ByteBufAllocator;
import io.netty.buffer.CompositeByteBuf;
import java.util.ArrayList;
import java.util.List;

/**
 * A body that arrives in parts. The parts are copied into blocks: a slice of a read buffer keeps
 * all of that buffer, and a composite buffer of many small parts copies them again and again.
 */
final class BodyBuffer {

  private static final int BLOCK_BYTES = 65_536;

  private final ByteBufAllocator allocator;
  private final List<ByteBuf> blocks = new ArrayList<>();
  private int size;

  BodyBuffer(ByteBufAllocator allocator) {
    this.allocator = allocator;
  }

  /** Returns the number of bytes. */
  int size() {
    return size;
  }

  /** Adds bytes without releasing them. */
  void append(ByteBuf bytes) {
    int from = bytes.readerIndex();
    while (from < bytes.writerIndex()) {
      int left = bytes.writerIndex() - from;
      ByteBuf block = blockWithRoom(left);
      int length = Math.min(left, BLOCK_BYTES - block.writerIndex());
      block.writeBytes(bytes, from, length);
      from += length;
      size += length;
    }
  }

  private ByteBuf blockWithRoom(int length) {
    ByteBuf last = blocks.isEmpty() ? null : blocks.get(blocks.size() - 1);
    if (last != null && last.writerIndex() < BLOCK_BYTES) {
      return last;
    }
    ByteBuf block = allocator.buffer(Math.min(length, BLOCK_BYTES), BLOCK_BYTES);
    blocks.add(block);
    return block;
  }

  /** Returns the bytes, which the caller must release, and empties this buffer. */
  CompositeByteBuf take() {
    CompositeByteBuf all = allocator.compositeBuffer(Math.max(2, blocks.size()));
    blocks.forEach(block -> all.addComponent(true, block));
    blocks.clear();
    size = 0;
    return all;
  }

  /** Releases the bytes. */
  void release() {
    take().release();
  }
}
