package org.goldcrestfall.daemon.gateway;

import static java.nio.charset.StandardCharsets.US_ASCII;
import static org.assertj.core.api.Assertions.assertThat;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.buffer.UnpooledByteBufAllocator;
import java.util.Random;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;

/** Guards against events that are cut, lost or doubled where reads end. */
final class EventScannerTest {

  @Property(tries = 200, seed = "5")
  void completeEventsAreReturnedHoweverTheBytesAreSplit(@ForAll long seed) {
    Random random = new Random(seed);
    String end = random.nextBoolean() ? "\n\n" : "\r\n\r\n";
    StringBuilder all = new StringBuilder();
    int events = 1 + random.nextInt(10);
    for (int i = 1; i <= events; i++) {
      all.append("id: ").append(i).append(end, 0, end.length() / 2).append("data: x").append(end);
    }
    String partial = "id: 99\nda";
    String text = all + partial;
    EventScanner scanner = new EventScanner();
    StringBuilder out = new StringBuilder();
    int at = 0;
    while (at < text.length()) {
      int next = Math.min(text.length(), at + 1 + random.nextInt(20));
      ByteBuf in = Unpooled.copiedBuffer(text.substring(at, next), US_ASCII);
      ByteBuf whole = scanner.feed(in, UnpooledByteBufAllocator.DEFAULT);
      out.append(whole.toString(US_ASCII));
      whole.release();
      in.release();
      at = next;
    }
    assertThat(out.toString()).isEqualTo(all.toString());
    assertThat(scanner.events()).isEqualTo(events);
    assertThat(scanner.lastEventId()).isEqualTo(String.valueOf(events));
    ByteBuf rest = scanner.takeIncompleteEvent();
    assertThat(rest.toString(US_ASCII)).isEqualTo(partial);
    rest.release();
  }
}
