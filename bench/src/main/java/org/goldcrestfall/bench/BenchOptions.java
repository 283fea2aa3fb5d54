package org.goldcrestfall.bench;

import com.beust.jcommander.JCommander;
import com.beust.jcommander.Parameter;
import com.beust.jcommander.ParameterException;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.logging.Level;
import java.util.logging.Logger;

/** The options that the benchmarks share. */
final class BenchOptions {

  @Parameter(names = "--folder", description = "folder for the data files, on the disk to measure")
  private String folder = "target";

  @Parameter(names = "--seconds", description = "duration of each measurement")
  private int seconds = 5;

  @Parameter(names = "--bytes", description = "size of a command")
  private int commandBytes = 300;

  @Parameter(names = "--in-flight", description = "concurrent commands in the batched measurement")
  private int inFlight = 256;

  private BenchOptions() {}

  /** Parses the shared options and limits logging to severe errors. */
  static BenchOptions parse(String name, String[] args) {
    Logger.getLogger("").setLevel(Level.SEVERE);
    BenchOptions options = new BenchOptions();
    parse(name, options, args);
    return options;
  }

  /** Parses the arguments into the annotated fields; exits with status 2 if they are invalid. */
  static void parse(String name, Object options, String[] args) {
    JCommander commander = JCommander.newBuilder().programName(name).addObject(options).build();
    try {
      commander.parse(args);
    } catch (ParameterException e) {
      System.err.println(e.getMessage());
      commander.usage();
      System.exit(2);
    }
  }

  /** Creates an empty folder below {@code --folder}. */
  Path createFolder() throws IOException {
    Path parent = Path.of(folder);
    Files.createDirectories(parent);
    return Files.createTempDirectory(parent, "bench-");
  }

  long durationNanos() {
    return seconds * 1_000_000_000L;
  }

  int commandBytes() {
    return commandBytes;
  }

  int inFlight() {
    return inFlight;
  }
}
