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
import org.goldcrestfall.standin.call.Calls;
import org.goldcrestfall.standin.call.ChatOptions;
import org.goldcrestfall.standin.call.PortsOptions;
import org.goldcrestfall.standin.engine.EngineOptions;
import org.goldcrestfall.standin.engine.EngineServer;
import org.goldcrestfall.standin.load.LoadOptions;
import org.goldcrestfall.standin.load.LoadRun;
import org.goldcrestfall.standin.service.ServiceOptions;
import org.goldcrestfall.standin.service.ServiceServer;
import org.goldcrestfall.standin.upstream.UpstreamProcess;

/** Entry point of the stand-ins and the tools that drive them. */
public final class StandinMain {

  private static final int USAGE_ERROR = 2;
  private static final int TIMER_THREADS = 2;

  private final EngineOptions engine = new EngineOptions();
  private final ServiceOptions service = new ServiceOptions();
  private final CallOptions call = new CallOptions();
  private final ChatOptions chat = new ChatOptions();
  private final LoadOptions load = new LoadOptions();
  private final PathOptions path = new PathOptions();
  private final PortsOptions ports = new PortsOptions();

  private StandinMain() {}

  /** Runs a subcommand. Engine and service keep running until SIGTERM. */
  public static void main(String[] args) throws Exception {
    int code;
    try {
      code = new StandinMain().run(args);
    } catch (IllegalArgumentException e) {
      System.err.println("goldcrestfall-standin: " + e.getMessage());
      code = USAGE_ERROR;
    }
    if (code >= 0) {
      System.exit(code);
    }
  }

  private int run(String[] args) throws Exception {
    JCommander commander =
        JCommander.newBuilder()
            .programName("goldcrestfall-standin")
            .addCommand("engine", engine)
            .addCommand("service", service)
            .addCommand("call", call)
            .addCommand("chat", chat)
            .addCommand("load", load)
            .addCommand("path", path)
            .addCommand("ports", ports)
            .build();
    try {
      commander.parse(args);
    } catch (ParameterException e) {
      System.err.println("goldcrestfall-standin: " + e.getMessage());
      return USAGE_ERROR;
    }
    String command = commander.getParsedCommand();
    if (command == null) {
      commander.usage();
      return USAGE_ERROR;
    }
    if (engine.help
        || service.help
        || call.help
        || chat.help
        || load.help
        || path.help
        || ports.help) {
      commander.getCommands().get(command).usage();
      return 0;
    }
    Calls calls = new Calls(System.out, System.err);
    return switch (command) {
      case "engine" -> runEngine();
      case "service" -> runService();
      case "call" -> calls.call(call);
      case "chat" -> calls.chat(chat);
      case "load" -> new LoadRun(load).run(System.out);
      case "path" -> new PathBench(path).run(System.out);
      default -> ports.print(System.out);
    };
  }

  private int runEngine() throws Exception {
    ActorSystem system = ActorSystem.create("standin");
    ScheduledThreadPoolExecutor timers = newTimers();
    MillisClock clock = MillisClock.monotonic();
    UpstreamProcess.run(
        engine.upstream,
        system,
        timers,
        clock,
        new EngineServer(engine, clock, timers, Materializer.createMaterializer(system)),
        System.out);
    return -1;
  }

  private int runService() throws Exception {
    ActorSystem system = ActorSystem.create("standin");
    ScheduledThreadPoolExecutor timers = newTimers();
    UpstreamProcess.run(
        service.upstream,
        system,
        timers,
        MillisClock.monotonic(),
        new ServiceServer(service, timers, Materializer.createMaterializer(system)),
        System.out);
    return -1;
  }

  private static ScheduledThreadPoolExecutor newTimers() {
    ScheduledThreadPoolExecutor timers = new ScheduledThreadPoolExecutor(TIMER_THREADS);
    timers.setRemoveOnCancelPolicy(true);
    return timers;
  }
}
