package org.goldcrestfall.daemon.gateway;

import io.netty.channel.AdaptiveRecvByteBufAllocator;
import io.netty.channel.RecvByteBufAllocator;

/** The size of the reads of HTTP connections. */
final class ReadSizes {

  private static final int MIN_BYTES = 64;
  private static final int INITIAL_BYTES = 2_048;
  private static final int MAX_BYTES = 16_384;

  /**
   * One read of at most 16 KiB a turn of the event loop. By default up to 16 reads of 64 KiB are
   * handled before reading can be paused, which is a megabyte for each caller that reads slowly,
   * and connections with little to read wait for those that always have more.
   */
  static final RecvByteBufAllocator ALLOCATOR =
      new AdaptiveRecvByteBufAllocator(MIN_BYTES, INITIAL_BYTES, MAX_BYTES).maxMessagesPerRead(1);

  private ReadSizes() {}
}
