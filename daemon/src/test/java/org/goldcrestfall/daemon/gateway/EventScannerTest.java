package org.goldcrestfall.daemon.gateway;

import static java.nio.charset.StandardCharsets.US_ASCII;
import static org.assertj.core.api.Assertions.assertThat;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.buffer.UnpooledByteBufAllocator;
import java.util.Random;
import net.jqwik.api.Example;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;

/** Guards against events that are truncated, lost or duplicated at the boundaries of reads. */
final class EventScannerTest {

  @Property(tries = 200, seed = "5")
  void completeEventsAreReturnedHoweverTheBytesAreSplit(@ForAll long seed) {
    Random random = new Random(seed);
    String eventEnd = random.nextBoolean() ? "\n\n" : "\r\n\r\n";
    StringBuilder complete = new StringBuilder();
    int events = 1 + random.nextInt(10);
    for (int i = 1; i <= events; i++) {
      complete
          .append("id: ")
          .append(i)
          .append(eventEnd, 0, eventEnd.length() / 2)
          .append("data: x")
          .append(eventEnd);
    }
    String partial = "id: 99\nda";
    String text = complete + partial;
    EventScanner scanner = new EventScanner();
    StringBuilder returned = new StringBuilder();
    int start = 0;
    while (start < text.length()) {
      int end = Math.min(text.length(), start + 1 + random.nextInt(20));
      ByteBuf in = Unpooled.copiedBuffer(text.substring(start, end), US_ASCII);
      ByteBuf completeEvents = scanner.feed(in, UnpooledByteBufAllocator.DEFAULT);
      returned.append(completeEvents.toString(US_ASCII));
      completeEvents.release();
      in.release();
      start = end;
    }
    assertThat(returned.toString()).isEqualTo(complete.toString());
    assertThat(scanner.events()).isEqualTo(events);
    assertThat(scanner.lastEventId()).isEqualTo(String.valueOf(events));
    assertThat(scanner.hasIncompleteEvent()).isTrue();
    ByteBuf end = Unpooled.copiedBuffer("ta: y\n\n", US_ASCII);
    ByteBuf last = scanner.feed(end, UnpooledByteBufAllocator.DEFAULT);
    assertThat(last.toString(US_ASCII)).isEqualTo(partial + "ta: y\n\n");
    assertThat(scanner.hasIncompleteEvent()).isFalse();
    last.release();
    end.release();
  }

  /** Guards against a search that starts anew with each part: the work of 34 billion bytes. */
  @Example
  void longEventInPartsOfOneByteIsSearchedOnce() {
    EventScanner scanner = new EventScanner();
    ByteBuf in = Unpooled.copiedBuffer("x", US_ASCII);
    long startMillis = System.currentTimeMillis();
    while (!scanner.isEventTooLong()) {
      scanner.feed(in, UnpooledByteBufAllocator.DEFAULT).release();
    }
    assertThat(System.currentTimeMillis() - startMillis).isLessThan(2_000);
    scanner.discardIncompleteEvent();
    in.release();
  }
}
