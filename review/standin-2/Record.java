import java.io.IOException;
import java.io.PrintWriter;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Locale;

/** The record of a case: what was sent, answered and run, with the time since the start. */
final class Record implements AutoCloseable {

  private final long startNanos = System.nanoTime();
  private final PrintWriter out;

  Record(Path file) throws IOException {
    out = new PrintWriter(Files.newBufferedWriter(file));
  }

  long nowMillis() {
    return (System.nanoTime() - startNanos) / 1_000_000;
  }

  synchronized void log(String format, Object... args) {
    out.printf(Locale.ROOT, "%8.3f  ", nowMillis() / 1_000.0);
    out.println(String.format(Locale.ROOT, format, args));
    out.flush();
  }

  /** Logs a line and prints it. */
  void report(String format, Object... args) {
    log(format, args);
    System.out.println(String.format(Locale.ROOT, format, args));
  }

  @Override
  public synchronized void close() {
    out.close();
  }
}
