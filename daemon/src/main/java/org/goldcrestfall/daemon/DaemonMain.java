package org.goldcrestfall.daemon;

import com.beust.jcommander.JCommander;
import com.beust.jcommander.ParameterException;
import com.google.common.flogger.FluentLogger;
import java.nio.file.Path;
import org.goldcrestfall.daemon.log.DrainingLogManager;
import org.goldcrestfall.daemon.log.LogSetup;
import org.goldcrestfall.daemon.settings.Settings;
import org.goldcrestfall.daemon.settings.SettingsException;
import org.goldcrestfall.daemon.settings.SettingsReader;

/**
 * Entry point of {@code goldcrestfalld}. Exit codes: 0 for success, 1 for a failure, 2 for invalid
 * arguments or settings.
 */
public final class DaemonMain {

  static {
    // Must be set before the first logger of the process is created.
    System.setProperty("java.util.logging.manager", DrainingLogManager.class.getName());
  }

  private static final FluentLogger logger = FluentLogger.forEnclosingClass();
  private static final int EXIT_FAILURE = 1;
  private static final int EXIT_USAGE = 2;

  private DaemonMain() {}

  /** Runs the daemon until SIGTERM, or checks its settings. */
  public static void main(String[] args) {
    int code = run(args);
    if (code != 0) {
      System.exit(code);
    }
  }

  private static int run(String[] args) {
    Arguments arguments = new Arguments();
    JCommander commander =
        JCommander.newBuilder().programName("goldcrestfalld").addObject(arguments).build();
    try {
      commander.parse(args);
    } catch (ParameterException e) {
      System.err.println("goldcrestfalld: " + e.getMessage());
      return EXIT_USAGE;
    }
    if (arguments.help) {
      commander.usage();
      return 0;
    }
    if (arguments.version) {
      String v = DaemonMain.class.getPackage().getImplementationVersion();
      System.out.println("goldcrestfalld " + (v == null ? "development build" : v));
      return 0;
    }
    if ((arguments.settings == null) == (arguments.check == null)) {
      System.err.println("goldcrestfalld: give either --settings FILE or --check FILE");
      return EXIT_USAGE;
    }
    try {
      Settings s =
          SettingsReader.read(
              Path.of(arguments.check == null ? arguments.settings : arguments.check));
      if (arguments.check != null) {
        System.out.println("settings are valid: host " + s.host() + ", zone " + s.zone());
        return 0;
      }
      return start(s);
    } catch (SettingsException e) {
      e.errors().forEach(error -> System.err.println("goldcrestfalld: " + error));
      return EXIT_USAGE;
    }
  }

  private static int start(Settings s) {
    LogSetup.install(s.log().format(), s.log().level());
    Daemon daemon = new Daemon(s);
    try {
      daemon.start();
    } catch (Exception e) {
      logger.atSevere().withCause(e).log("daemon: start failed");
      return EXIT_FAILURE;
    }
    Runtime.getRuntime().addShutdownHook(new Thread(() -> shutDownAndExit(daemon), "shutdown"));
    return 0;
  }

  /**
   * Shuts down and halts with an explicit exit code, because a JVM that ends by a signal exits with
   * a code other than 0 even after a clean shutdown.
   */
  private static void shutDownAndExit(Daemon daemon) {
    boolean clean = daemon.shutdown();
    Runtime.getRuntime().halt(clean ? 0 : EXIT_FAILURE);
  }
}
