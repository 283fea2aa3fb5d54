import java.io.IOException;
import java.io.PrintWriter;
import java.nio.file.Files;
import java.nio.file.Path;

/** Writes what a case sent, received and ran to its record file, one line for each event. */
final class Recorder implements AutoCloseable {

  private final long startNanos = System.nanoTime();
  private final PrintWriter out;

  Recorder(Path file) throws IOException {
    out = new PrintWriter(Files.newBufferedWriter(file), true);
  }

  long millis() {
    return (System.nanoTime() - startNanos) / 1_000_000;
  }

  synchronized void log(String format, Object... args) {
    String line =
        String.format("%9.3f s  ", millis() / 1000.0)
            + (args.length == 0 ? format : String.format(format, args));
    out.println(line);
    System.out.println(line);
  }

  @Override
  public synchronized void close() {
    out.close();
  }
}
