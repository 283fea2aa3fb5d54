import java.io.File;
import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.concurrent.TimeUnit;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import java.util.stream.Stream;

/**
 * The platform's side of a small deployment: starts the daemons with the run lines of the deploy
 * file as separate processes, each machine at a loopback address of its own, and fills in the
 * settings template. Ends everything that it started when it is closed.
 */
final class Fleet implements AutoCloseable {

  /** A machine with one role. */
  final class Node {
    final String name;
    final String zone;
    final String role;
    final String ip;
    final Path folder;
    Process process;
    List<String> seedAddresses;

    Node(String name, String zone, String role, String ip) throws IOException {
      this.name = name;
      this.zone = zone;
      this.role = role;
      this.ip = ip;
      folder = Files.createDirectories(temporary.resolve(name));
    }

    boolean isControl() {
      return role.equals("control");
    }

    void start(boolean bootstrap) throws IOException {
      Path settings = folder.resolve("settings.json");
      if (isControl()) {
        Files.createDirectories(folder.resolve("data"));
      }
      Files.writeString(settings, render(this, bootstrap));
      ProcessBuilder builder = new ProcessBuilder(runLines.get(role).split(" "));
      builder.directory(repository.toFile());
      builder.environment().put("GOLDCRESTFALL_NODE_FILE", settings.toString());
      builder.redirectErrorStream(true);
      builder.redirectOutput(ProcessBuilder.Redirect.appendTo(folder.resolve("log").toFile()));
      process = builder.start();
      record.log("platform: %s at %s starts, process %d", name, ip, process.pid());
    }

    void signal(String signal) throws IOException, InterruptedException {
      record.log("platform: %s gets SIG%s", name, signal);
      new ProcessBuilder("kill", "-" + signal, Long.toString(process.pid())).start().waitFor();
    }

    void awaitExit(long millis) throws InterruptedException {
      boolean ended = process.waitFor(millis, TimeUnit.MILLISECONDS);
      record.log("platform: %s %s", name, ended ? "has ended" : "still runs");
    }

    void kill() throws InterruptedException {
      if (process.isAlive()) {
        process.destroyForcibly().waitFor();
        record.log("platform: %s is killed", name);
      }
    }

    void wipeDisk() throws IOException {
      deleteTree(folder.resolve("data"));
      record.log("platform: %s has lost its disk", name);
    }
  }

  private static final Pattern PLACEHOLDER = Pattern.compile("\\{\\{([A-Za-z.]+)\\|json}}");

  final Path repository;
  final Path temporary;
  final Recorder record;
  final List<Node> nodes = new ArrayList<>();
  final int controlPort;
  final int frontPort;
  final int readyPort;
  final int graceSeconds = 8;
  private final int internalPort;
  private final int network;
  private final Map<String, String> runLines = new LinkedHashMap<>();
  private int addresses;

  Fleet(Path repository, Recorder record) throws IOException {
    this.repository = repository;
    this.record = record;
    temporary = Files.createTempDirectory("review-");
    Random random = new Random();
    network = 20 + random.nextInt(200);
    int base = freePortBlock(random);
    controlPort = base;
    frontPort = base + 1;
    readyPort = base + 2;
    internalPort = base + 3;
    readRunLines();
    Runtime.getRuntime().addShutdownHook(new Thread(this::close));
  }

  private int freePortBlock(Random random) throws IOException {
    while (true) {
      int base = 11_000 + random.nextInt(20_000);
      boolean free = true;
      for (int i = 0; i < 20 && free; i++) {
        try (ServerSocket s = new ServerSocket(base + i, 1, InetAddress.getByName(address(1)))) {
          free = s.isBound();
        } catch (IOException e) {
          free = false;
        }
      }
      if (free) {
        return base;
      }
    }
  }

  private void readRunLines() throws IOException {
    String role = "";
    for (String line : Files.readAllLines(repository.resolve("deploy/system.toml"))) {
      Matcher section = Pattern.compile("\\[roles\\.(\\w+)]").matcher(line);
      Matcher run = Pattern.compile("run = \"(.*)\"").matcher(line);
      if (section.matches()) {
        role = section.group(1);
      } else if (run.matches()) {
        runLines.put(role, run.group(1));
      }
    }
  }

  String nextAddress() {
    return address(++addresses);
  }

  private String address(int number) {
    return "127." + network + ".0." + number;
  }

  Node add(String name, String zone, String role) throws IOException {
    Node node = new Node(name, zone, role, nextAddress());
    nodes.add(node);
    return node;
  }

  List<Node> controls() {
    return nodes.stream().filter(Node::isControl).toList();
  }

  List<Node> routers() {
    return nodes.stream().filter(n -> !n.isControl()).toList();
  }

  private String render(Node node, boolean bootstrap) throws IOException {
    StringBuilder seeds = new StringBuilder();
    List<String> seedIps =
        node.seedAddresses != null
            ? node.seedAddresses
            : controls().stream().limit(3).map(n -> n.ip).toList();
    for (String ip : seedIps) {
      seeds.append(seeds.isEmpty() ? "" : ", ").append(quote(ip + ":" + controlPort));
    }
    Map<String, String> values = new LinkedHashMap<>();
    values.put("NodeName", quote(node.name));
    values.put("Zone", quote(node.zone));
    values.put("Ip", quote(node.ip));
    values.put("Listen.Front", node.isControl() ? "null" : quote(node.ip + ":" + frontPort));
    values.put("Listen.Ready", node.isControl() ? "null" : quote(node.ip + ":" + readyPort));
    values.put("Listen.Control", node.isControl() ? quote(node.ip + ":" + controlPort) : "null");
    values.put("InternalPortRange", "[" + internalPort + ", " + (internalPort + 15) + "]");
    values.put("Seeds", "[" + seeds + "]");
    values.put("Bootstrap", Boolean.toString(bootstrap));
    values.put(
        "DataDir", node.isControl() ? quote(node.folder.resolve("data").toString()) : "null");
    values.put("FaultTolerance.Machines", "2");
    values.put("Limits.MemoryMb", node.isControl() ? "426" : "352");
    values.put("Bounds.GraceS", Integer.toString(graceSeconds));
    values.put("Bounds.RetryBudgetRatio", "0.2");
    values.put("Bounds.BudgetSlack", "116");
    values.put("Bounds.BudgetWindowS", "10");
    String template = Files.readString(repository.resolve("deploy/settings.json"));
    return PLACEHOLDER
        .matcher(template)
        .replaceAll(m -> Matcher.quoteReplacement(values.getOrDefault(m.group(1), "null")));
  }

  static String quote(String text) {
    return "\"" + text + "\"";
  }

  /** Sends a configuration to the control daemons until one acknowledges it. */
  boolean configure(String document, long timeoutMillis) throws InterruptedException {
    record.log("operator: sends %s", document);
    long end = System.nanoTime() + timeoutMillis * 1_000_000;
    for (int i = 0; System.nanoTime() < end; i++) {
      Node n = controls().get(i % controls().size());
      try {
        Http.Message reply =
            Http.call(n.ip, controlPort, "POST", "/-/config/replace", document, 1_000);
        if (reply.status() == 200) {
          record.log("operator: %s acknowledged %s", n.name, reply.text().trim());
          return true;
        }
      } catch (IOException e) {
        // The next daemon is tried.
      }
      Thread.sleep(50);
    }
    record.log("operator: no control daemon acknowledged the configuration");
    return false;
  }

  /** Reads the configuration at one control daemon; returns null without a 200. */
  String read(Node n) {
    try {
      Http.Message reply = Http.call(n.ip, controlPort, "GET", "/-/config/read", "", 1_500);
      return reply.status() == 200 ? reply.text() : null;
    } catch (IOException e) {
      return null;
    }
  }

  boolean isReady(Node router) {
    try {
      return Http.call(router.ip, readyPort, "GET", "/-/ready", "", 1_000).status() == 200;
    } catch (IOException e) {
      return false;
    }
  }

  boolean awaitReady(Node router, long timeoutMillis) throws InterruptedException {
    long end = System.nanoTime() + timeoutMillis * 1_000_000;
    while (!isReady(router)) {
      if (System.nanoTime() > end) {
        return false;
      }
      Thread.sleep(50);
    }
    return true;
  }

  private static void deleteTree(Path root) throws IOException {
    if (!Files.exists(root)) {
      return;
    }
    try (Stream<Path> paths = Files.walk(root)) {
      paths.sorted(Comparator.reverseOrder()).map(Path::toFile).forEach(File::delete);
    }
  }

  @Override
  public void close() {
    for (Node n : nodes) {
      if (n.process != null) {
        n.process.destroyForcibly();
      }
    }
    if (System.getenv("KEEP") != null) {
      return;
    }
    try {
      deleteTree(temporary);
    } catch (IOException e) {
      System.err.println("could not delete " + temporary + ": " + e);
    }
  }
}
