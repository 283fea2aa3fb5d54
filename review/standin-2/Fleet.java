import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpRequest.BodyPublishers;
import java.net.http.HttpResponse;
import java.net.http.HttpResponse.BodyHandlers;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.TimeUnit;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import java.util.stream.Collectors;
import java.util.stream.Stream;

/**
 * A stand-in of the platform: starts each daemon as a process at a loopback address of its own, with
 * the run lines of the deploy file and the filled-in template of the settings, sends signals, and
 * ends all processes at the end.
 */
final class Fleet implements AutoCloseable {

  static final int GRACE_MILLIS = 8_000;

  private static final Pattern PLACEHOLDER = Pattern.compile("\\{\\{([A-Za-z.]+)\\|json}}");

  /** A machine with one daemon. */
  final class Node {
    final String name;
    final String ip;
    final String zone;
    private final boolean router;
    private final Path folder;
    Process process;

    private Node(boolean router, int number) throws IOException {
      this.router = router;
      name = (router ? "front-" : "core-") + number;
      zone = "zone-" + "abc".charAt(number % 3);
      ip = nextAddress();
      folder = Files.createDirectories(Fleet.this.folder.resolve(name));
      Files.createDirectories(folder.resolve("data"));
    }

    String controlAddress() {
      return ip + ":" + (firstPort + 2);
    }

    String frontAddress() {
      return ip + ":" + firstPort;
    }

    private String readyAddress() {
      return ip + ":" + (firstPort + 1);
    }

    void start(boolean bootstrap) throws IOException {
      Files.writeString(folder.resolve("settings"), settings(bootstrap));
      ProcessBuilder builder = new ProcessBuilder(runLine(router ? "router" : "control").split(" "));
      builder.directory(repository.toFile()).redirectErrorStream(true);
      builder.environment().put("GOLDCRESTFALL_NODE_FILE", folder.resolve("settings").toString());
      builder.redirectOutput(ProcessBuilder.Redirect.appendTo(log().toFile()));
      process = builder.start();
      record.log("platform: %s at %s starts as process %s", name, ip, process.pid());
    }

    private Path log() {
      return folder.resolve("log");
    }

    private String settings(boolean bootstrap) throws IOException {
      Map<String, String> values = new HashMap<>();
      values.put("NodeName", quote(name));
      values.put("Zone", quote(zone));
      values.put("Zones", "{\"zone-a\":\"region\",\"zone-b\":\"region\",\"zone-c\":\"region\"}");
      values.put("Ip", quote(ip));
      values.put("Listen.Front", router ? quote(frontAddress()) : "null");
      values.put("Listen.Ready", router ? quote(readyAddress()) : "null");
      values.put("Listen.Control", router ? "null" : quote(controlAddress()));
      values.put("InternalPortRange", "[" + (firstPort + 3) + "," + (firstPort + 18) + "]");
      values.put(
          "Seeds",
          seeds.stream().map(n -> quote(n.controlAddress())).collect(Collectors.joining(",", "[", "]")));
      values.put("Bootstrap", String.valueOf(bootstrap));
      values.put("DataDir", router ? "null" : quote(folder.resolve("data").toString()));
      values.put("FaultTolerance.Machines", String.valueOf(lostMachines));
      values.put("Limits.MemoryMb", router ? "352" : "426");
      values.put("Bounds.GraceS", String.valueOf(GRACE_MILLIS / 1_000));
      values.put("Bounds.RetryBudgetRatio", "0.2");
      values.put("Bounds.BudgetSlack", "116");
      values.put("Bounds.BudgetWindowS", "10");
      Matcher m = PLACEHOLDER.matcher(Files.readString(repository.resolve("deploy/settings.json")));
      return m.replaceAll(r -> Matcher.quoteReplacement(values.get(r.group(1))));
    }

    /** Sends a signal by the name that kill(1) uses. */
    void signal(String signal) throws IOException, InterruptedException {
      record.log("platform: %s gets SIG%s", name, signal);
      new ProcessBuilder("kill", "-" + signal, String.valueOf(process.pid())).start().waitFor();
    }

    /** Kills the process and waits for its end. */
    void kill() throws InterruptedException {
      record.log("platform: %s gets SIGKILL", name);
      process.destroyForcibly().waitFor();
    }

    /** Empties the disk of a machine whose process has ended. */
    void wipe() throws IOException {
      record.log("platform: %s loses its disk", name);
      deleteTree(folder.resolve("data"));
      Files.createDirectories(folder.resolve("data"));
    }

    /** Returns whether the last role in the log of this control daemon is that of the leader. */
    boolean isLeader() throws IOException {
      boolean leader = false;
      Pattern role = Pattern.compile("\"message\":\"\\S+ is ([A-Z_]+) in term");
      for (String line : Files.readAllLines(log())) {
        Matcher m = role.matcher(line);
        leader = m.find() ? m.group(1).equals("LEADER") : leader;
      }
      return leader && process.isAlive();
    }

    boolean isReady() {
      return call(readyAddress(), "GET", "/-/ready", "", 1_000).status() == 200;
    }
  }

  /** The status of an answer, 0 if none came, and its body or the reason for none. */
  record Answer(int status, String body) {}

  final Record record;
  final List<Node> controls = new ArrayList<>();
  final List<Node> routers = new ArrayList<>();
  final List<Node> seeds = new ArrayList<>();
  private final Path repository = Path.of("").toAbsolutePath();
  private final Path folder;
  private final int lostMachines;
  private final int firstPort;
  private final String network =
      ThreadLocalRandom.current().nextInt(20, 220) + "." + ThreadLocalRandom.current().nextInt(250);
  private int addresses;
  private final List<Process> workers = new ArrayList<>();
  private final HttpClient http =
      HttpClient.newBuilder().connectTimeout(Duration.ofMillis(1_000)).build();

  Fleet(int controlCount, int routerCount, Record record) throws IOException {
    this.record = record;
    folder = Files.createTempDirectory("goldcrestfall-review");
    lostMachines = (controlCount - 1) / 2;
    firstPort = freePorts();
    Runtime.getRuntime().addShutdownHook(new Thread(this::close));
    for (int i = 0; i < controlCount; i++) {
      controls.add(new Node(false, i));
    }
    seeds.addAll(controls.subList(0, Math.min(3, controlCount)));
    for (int i = 0; i < routerCount; i++) {
      routers.add(new Node(true, i));
    }
  }

  /** Adds a control machine with an empty disk at a new address. */
  Node addControl() throws IOException {
    Node added = new Node(false, controls.size());
    controls.add(added);
    return added;
  }

  int frontPort() {
    return firstPort;
  }

  synchronized String nextAddress() {
    return "127." + network + "." + ++addresses;
  }

  private int freePorts() throws IOException {
    for (int i = 0; i < 50; i++) {
      int first = ThreadLocalRandom.current().nextInt(11_000, 31_000);
      try (ServerSocket probe =
          new ServerSocket(first, 1, InetAddress.getByName("127." + network + ".1"))) {
        return probe.getLocalPort();
      } catch (IOException e) {
        record.log("platform: port %s is taken", first);
      }
    }
    throw new IOException("no free ports");
  }

  private String runLine(String role) throws IOException {
    for (String line : Files.readAllLines(repository.resolve("deploy/system.toml"))) {
      if (line.startsWith("run = ") && line.endsWith(" " + role + "\"")) {
        return line.substring(7, line.length() - 1);
      }
    }
    throw new IOException("no run line for " + role);
  }

  /** Starts all daemons; the configuration is sent until it is accepted. */
  void start(String configuration) throws IOException, InterruptedException {
    for (Node n : controls) {
      n.start(true);
    }
    for (Node n : routers) {
      n.start(true);
    }
    for (int i = 0; i < 300; i++) {
      Answer a = replace(configuration);
      if (a.status() == 200) {
        record.log("operator: the first configuration is acknowledged");
        return;
      }
      Thread.sleep(100);
    }
    throw new IOException("the first configuration is not accepted");
  }

  /** Waits until all routers are ready. */
  void awaitReady() throws IOException, InterruptedException {
    for (int i = 0; i < 300; i++) {
      if (routers.stream().allMatch(Node::isReady)) {
        return;
      }
      Thread.sleep(100);
    }
    throw new IOException("the routers are not ready");
  }

  /** Sends a configuration to the control daemons in turn until one acknowledges or rejects it. */
  Answer replace(String configuration) {
    Answer last = new Answer(0, "");
    for (Node n : List.copyOf(controls)) {
      last = call(n.controlAddress(), "POST", "/-/config/replace", configuration, 1_000);
      if (last.status() == 200 || last.status() / 100 == 4) {
        return last;
      }
    }
    return last;
  }

  Answer read(Node n) {
    return call(n.controlAddress(), "GET", "/-/config/read", "", 1_000);
  }

  Answer call(String address, String method, String path, String body, long timeoutMillis) {
    HttpRequest request =
        HttpRequest.newBuilder(URI.create("http://" + address + path))
            .timeout(Duration.ofMillis(timeoutMillis))
            .method(method, BodyPublishers.ofString(body))
            .build();
    try {
      HttpResponse<String> r = http.send(request, BodyHandlers.ofString());
      return new Answer(r.statusCode(), r.body());
    } catch (IOException e) {
      return new Answer(0, String.valueOf(e));
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
      return new Answer(0, "interrupted");
    }
  }

  /** Starts a worker as a process of its own; its arguments follow those that all workers have. */
  Process startWorker(String id, String service, String zone, String... more) throws IOException {
    List<String> command = new ArrayList<>();
    String java = Path.of(System.getProperty("java.home"), "bin", "java").toString();
    String classes = System.getProperty("java.class.path");
    String control =
        controls.stream().map(Node::controlAddress).collect(Collectors.joining(","));
    command.addAll(List.of(java, "-Xmx128m", "-Xss256k", "-XX:+UseSerialGC", "-cp", classes));
    command.addAll(List.of("Worker", id, service, nextAddress(), zone, control));
    command.addAll(List.of(more));
    ProcessBuilder builder = new ProcessBuilder(command).redirectErrorStream(true);
    builder.redirectOutput(folder.resolve(id + ".log").toFile());
    Process started = builder.start();
    workers.add(started);
    record.log("worker %s of %s starts as process %s", id, service, started.pid());
    return started;
  }

  /** Returns the lines that a worker has written about the requests that it got. */
  List<String> workerLog(String id) throws IOException {
    return Files.readAllLines(folder.resolve(id + ".log"));
  }

  static String quote(String text) {
    return "\"" + text + "\"";
  }

  private static void deleteTree(Path root) throws IOException {
    try (Stream<Path> files = Files.walk(root)) {
      for (Path p : files.sorted(Comparator.reverseOrder()).toList()) {
        Files.delete(p);
      }
    }
  }

  @Override
  public synchronized void close() {
    List<Process> all = new ArrayList<>(workers);
    Stream.concat(routers.stream(), controls.stream())
        .filter(n -> n.process != null)
        .forEach(n -> all.add(n.process));
    all.forEach(Process::destroyForcibly);
    for (Process p : all) {
      try {
        p.waitFor(5, TimeUnit.SECONDS);
      } catch (InterruptedException e) {
        Thread.currentThread().interrupt();
      }
    }
    if (System.getenv("KEEP_LOGS") != null) {
      System.out.println("logs: " + folder);
      return;
    }
    try {
      if (Files.exists(folder)) {
        deleteTree(folder);
      }
    } catch (IOException e) {
      System.out.println("could not delete " + folder + ": " + e);
    }
  }
}
