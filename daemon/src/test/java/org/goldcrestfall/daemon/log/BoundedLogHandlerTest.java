package org.goldcrestfall.daemon.log;

import static java.nio.charset.StandardCharsets.UTF_8;
import static org.assertj.core.api.Assertions.assertThat;

import java.io.ByteArrayOutputStream;
import java.io.PrintStream;
import java.util.concurrent.CountDownLatch;
import java.util.logging.Level;
import java.util.logging.LogRecord;
import net.jqwik.api.Example;

/**
 * Guards against requests that wait for a log whose reader has stalled, and against dropped records
 * that are not reported.
 */
class BoundedLogHandlerTest {

  private static final int RECORDS = 20_000;
  private static final int MAX_POLLS = 1_000;
  private static final long POLL_INTERVAL_MILLIS = 20;

  /** An output stream whose writes block until it is released. */
  private static final class StalledOutput extends ByteArrayOutputStream {
    final CountDownLatch released = new CountDownLatch(1);

    @Override
    public void write(byte[] b, int off, int len) {
      try {
        released.await();
      } catch (InterruptedException e) {
        Thread.currentThread().interrupt();
      }
      super.write(b, off, len);
    }
  }

  @Example
  void stalledOutputDoesNotBlockPublishersAndDroppedRecordsAreReported() throws Exception {
    StalledOutput output = new StalledOutput();
    BoundedLogHandler handler =
        new BoundedLogHandler(new PrintStream(output, true, UTF_8), new JsonLogFormatter());
    for (int i = 0; i < RECORDS; i++) {
      handler.publish(new LogRecord(Level.INFO, "request: " + i));
    }
    output.released.countDown();
    handler.publish(new LogRecord(Level.INFO, "request: last"));
    for (int i = 0; i < MAX_POLLS && !output.toString(UTF_8).contains("dropped "); i++) {
      Thread.sleep(POLL_INTERVAL_MILLIS);
    }
    handler.close();
    String text = output.toString(UTF_8);
    assertThat(text).contains("dropped ").contains("\"message\":\"0\"");
    assertThat(text.lines().count()).isLessThan(RECORDS);
  }
}
