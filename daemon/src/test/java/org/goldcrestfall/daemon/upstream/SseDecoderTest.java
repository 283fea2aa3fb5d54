package org.goldcrestfall.daemon.upstream;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import net.jqwik.api.Example;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import org.apache.pekko.util.ByteString;

/** Checks that the decoded events do not depend on where the input is split into chunks. */
final class SseDecoderTest {

  private static final String STREAM =
      "data: {\"request_id\":\"r\","
          + "\"offset\":0,\"choices\":[{\"index\":0,\"delta\":{\"content\":\"é\"},"
          + "\"finish_reason\":null}],\"usage\":null}\n\n"
          + ": comment\n\n"
          + "data: {\"offset\":1,\"choices\":[{\"delta\":{\"content\":\"b\\n\"},"
          + "\"finish_reason\":\"stop\"}]}\r\n\r\n"
          + "data: {\"choices\":[],\"usage\":{\"prompt_tokens\":3,\"completion_tokens\":2}}\n\n"
          + "data: [DONE]\n\n";

  @Property(tries = 200, seed = "11")
  void streamSplitIntoChunksOfAnySizeYieldsTheSameEvents(
      @ForAll @IntRange(min = 1, max = 60) int size) throws IOException {
    byte[] bytes = STREAM.getBytes(StandardCharsets.UTF_8);
    SseDecoder d = new SseDecoder();
    List<TokenEvent> out = new ArrayList<>();
    for (int i = 0; i < bytes.length; i += size) {
      out.addAll(d.decode(ByteString.fromArray(bytes, i, Math.min(size, bytes.length - i))));
    }
    assertThat(out)
        .containsExactly(
            new TokenEvent("r", 0, "é", null, -1, -1),
            new TokenEvent(null, 1, "b\n", "stop", -1, -1),
            new TokenEvent(null, -1, null, null, 3, 2));
    assertThat(d.isDone()).isTrue();
  }

  @Example
  void streamWithoutDoneEventIsNotDone() throws IOException {
    SseDecoder d = new SseDecoder();
    d.decode(ByteString.fromString("data: {\"offset\":0,\"choices\":[]}\n"));
    assertThat(d.isDone()).isFalse();
  }

  /** Guards against work that grows with the square of the length of a line. */
  @Example
  void endlessLineInPartsOfOneByteIsEndedSoon() {
    SseDecoder d = new SseDecoder();
    ByteString part = ByteString.fromString("x");
    long startMillis = System.currentTimeMillis();
    assertThatThrownBy(
            () -> {
              while (System.currentTimeMillis() - startMillis < 5_000) {
                d.decode(part);
              }
            })
        .isInstanceOf(IOException.class)
        .hasMessageContaining("a line of more than");
  }
}
