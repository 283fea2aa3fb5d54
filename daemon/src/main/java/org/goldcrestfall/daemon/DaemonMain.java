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

/** Entry point of {@code goldcrestfalld}. Exit codes: 0 success, 1 failure, 2 usage or settings. */
public final class DaemonMain {

  static {
    // Takes effect only before the first logger of the process is created.
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
    Arguments a = new Arguments();
    JCommander commander =
        JCommander.newBuilder().programName("goldcrestfalld").addObject(a).build();
    try {
      commander.parse(args);
    } catch (ParameterException e) {
      System.err.println("goldcrestfalld: " + e.getMessage());
      return EXIT_USAGE;
    }
    if (a.help) {
      commander.usage();
      return 0;
    }
    if (a.version) {
      String v = DaemonMain.class.getPackage().getImplementationVersion();
      System.out.println("goldcrestfalld " + (v == null ? "development build" : v));
      return 0;
    }
    if ((a.settings == null) == (a.check == null)) {
      System.err.println("goldcrestfalld: give either --settings FILE or --check FILE");
      return EXIT_USAGE;
    }
    try {
      Settings s = SettingsReader.read(Path.of(a.check == null ? a.settings : a.check));
      if (a.check != null) {
        System.out.println("settings are valid: host " + s.host() + ", zone " + s.zone());
        return 0;
      }
      return start(s);
    } catch (SettingsException e) {
      e.faults().forEach(f -> System.err.println("goldcrestfalld: " + f));
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
    Runtime.getRuntime().addShutdownHook(new Thread(() -> stop(daemon), "shutdown"));
    return 0;
  }

  /** A process that ends by a signal would exit with a code other than 0 even after draining. */
  private static void stop(Daemon daemon) {
    boolean clean = daemon.shutdown();
    Runtime.getRuntime().halt(clean ? 0 : EXIT_FAILURE);
  }
}
