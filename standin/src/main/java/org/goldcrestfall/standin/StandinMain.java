package org.goldcrestfall.standin;

import com.beust.jcommander.JCommander;
import com.beust.jcommander.ParameterException;
import java.util.concurrent.ScheduledThreadPoolExecutor;
import org.apache.pekko.actor.ActorSystem;
import org.apache.pekko.stream.Materializer;
import org.goldcrestfall.core.common.MillisClock;
import org.goldcrestfall.standin.bench.PathBench;
import org.goldcrestfall.standin.bench.PathOptions;
import org.goldcrestfall.standin.call.CallOptions;
import org.goldcrestfall.standin.call.ChatOptions;
import org.goldcrestfall.standin.call.PortsCommand;
import org.goldcrestfall.standin.call.RequestCommands;
import org.goldcrestfall.standin.engine.EngineOptions;
import org.goldcrestfall.standin.engine.EngineServer;
import org.goldcrestfall.standin.load.LoadOptions;
import org.goldcrestfall.standin.load.LoadRun;
import org.goldcrestfall.standin.service.ServiceOptions;
import org.goldcrestfall.standin.service.ServiceServer;
import org.goldcrestfall.standin.upstream.UpstreamProcess;

/**
 * Entry point of the stand-ins, which simulate the upstreams of the routers (model engines and
 * services), and of the tools that send requests to them or to routers.
 */
public final class StandinMain {

  private static final int EXIT_USAGE_ERROR = 2;
  private static final int TIMER_THREADS = 2;

  private final EngineOptions engineOptions = new EngineOptions();
  private final ServiceOptions serviceOptions = new ServiceOptions();
  private final CallOptions callOptions = new CallOptions();
  private final ChatOptions chatOptions = new ChatOptions();
  private final LoadOptions loadOptions = new LoadOptions();
  private final PathOptions pathOptions = new PathOptions();
  private final PortsCommand portsCommand = new PortsCommand();

  private StandinMain() {}

  /**
   * Runs the subcommand named by the first argument. The {@code engine} and {@code service}
   * subcommands keep running until SIGTERM; the others exit with their exit code.
   */
  public static void main(String[] args) throws Exception {
    int exitCode;
    try {
      exitCode = new StandinMain().run(args);
    } catch (IllegalArgumentException e) {
      System.err.println("goldcrestfall-standin: " + e.getMessage());
      exitCode = EXIT_USAGE_ERROR;
    }
    if (exitCode >= 0) {
      System.exit(exitCode);
    }
  }

  /** Returns the exit code, or -1 if the process has to keep running. */
  private int run(String[] args) throws Exception {
    JCommander commander =
        JCommander.newBuilder()
            .programName("goldcrestfall-standin")
            .addCommand("engine", engineOptions)
            .addCommand("service", serviceOptions)
            .addCommand("call", callOptions)
            .addCommand("chat", chatOptions)
            .addCommand("load", loadOptions)
            .addCommand("path", pathOptions)
            .addCommand("ports", portsCommand)
            .build();
    try {
      commander.parse(args);
    } catch (ParameterException e) {
      System.err.println("goldcrestfall-standin: " + e.getMessage());
      return EXIT_USAGE_ERROR;
    }
    String command = commander.getParsedCommand();
    if (command == null) {
      commander.usage();
      return EXIT_USAGE_ERROR;
    }
    if (engineOptions.help
        || serviceOptions.help
        || callOptions.help
        || chatOptions.help
        || loadOptions.help
        || pathOptions.help
        || portsCommand.help) {
      commander.getCommands().get(command).usage();
      return 0;
    }
    RequestCommands requestCommands = new RequestCommands(System.out, System.err);
    return switch (command) {
      case "engine" -> runEngine();
      case "service" -> runService();
      case "call" -> requestCommands.sendRequest(callOptions);
      case "chat" -> requestCommands.sendChatCompletion(chatOptions);
      case "load" -> new LoadRun(loadOptions).run(System.out);
      case "path" -> new PathBench(pathOptions).run(System.out);
      default -> portsCommand.printFreePorts(System.out);
    };
  }

  private int runEngine() throws Exception {
    ActorSystem system = ActorSystem.create("standin");
    ScheduledThreadPoolExecutor timers = newTimers();
    MillisClock clock = MillisClock.monotonic();
    UpstreamProcess.run(
        engineOptions.upstream,
        system,
        timers,
        clock,
        new EngineServer(engineOptions, clock, timers, Materializer.createMaterializer(system)),
        System.out);
    return -1;
  }

  private int runService() throws Exception {
    ActorSystem system = ActorSystem.create("standin");
    ScheduledThreadPoolExecutor timers = newTimers();
    UpstreamProcess.run(
        serviceOptions.upstream,
        system,
        timers,
        MillisClock.monotonic(),
        new ServiceServer(serviceOptions, timers, Materializer.createMaterializer(system)),
        System.out);
    return -1;
  }

  private static ScheduledThreadPoolExecutor newTimers() {
    ScheduledThreadPoolExecutor timers = new ScheduledThreadPoolExecutor(TIMER_THREADS);
    timers.setRemoveOnCancelPolicy(true);
    return timers;
  }
}
