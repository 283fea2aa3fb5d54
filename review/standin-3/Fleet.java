import static java.nio.charset.StandardCharsets.ISO_8859_1;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.concurrent.TimeUnit;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import java.util.stream.Stream;

/**
 * The platform's side of a script: starts control daemons and routers as processes with the run
 * lines of the deploy file, each on a loopback address of its own, and calls their interfaces.
 */
final class Fleet implements AutoCloseable {

  private static final int CALLERS_PORT = 17_080;
  private static final int READINESS_PORT = 17_081;
  private static final int OPERATORS_PORT = 17_082;
  private static final int METRICS_PORT = 9_464;
  private static final int FIRST_PEER_PORT = 17_083;
  private static final int LAST_PEER_PORT = 17_098;
  private static final int CALL_TIMEOUT_MILLIS = 1_500;
  private static final int START_TIMEOUT_MILLIS = 40_000;
  private static final Pattern PLACEHOLDER = Pattern.compile("\\{\\{([A-Za-z.]+)\\|json}}");

  /** The status and body of an answer; status 0 if there was none. */
  record Answer(int status, String body) {}

  /** A machine with one role. */
  final class Node {
    final String name;
    final String ip;
    private final boolean router;
    private final int zone;
    private final Path folder;
    private Process process;

    private Node(boolean router, int number) throws IOException {
      this.router = router;
      name = (router ? "front-" : "core-") + number;
      zone = number % 3;
      ip = nextAddress();
      folder = Files.createDirectories(Fleet.this.folder.resolve(name));
      Files.createDirectories(folder.resolve("data"));
    }

    InetSocketAddress callers() {
      return new InetSocketAddress(ip, CALLERS_PORT);
    }

    String operators() {
      return ip + ":" + OPERATORS_PORT;
    }

    boolean isAlive() {
      return process != null && process.isAlive();
    }

    long pid() {
      return process.pid();
    }

    Path log() {
      return folder.resolve("log");
    }

    void start(boolean bootstrap) throws IOException {
      Files.writeString(folder.resolve("settings"), settings(bootstrap));
      ProcessBuilder builder = new ProcessBuilder(runLine(router ? "router" : "control").split(" "));
      builder.directory(root.toFile()).redirectErrorStream(true);
      builder.environment().put("GOLDCRESTFALL_NODE_FILE", folder.resolve("settings").toString());
      builder.redirectOutput(ProcessBuilder.Redirect.appendTo(log().toFile()));
      process = builder.start();
    }

    void signal(String signal) throws IOException, InterruptedException {
      new ProcessBuilder("kill", "-" + signal, String.valueOf(pid())).start().waitFor();
    }

    boolean awaitEnd(int millis) throws InterruptedException {
      return process.waitFor(millis, TimeUnit.MILLISECONDS);
    }

    void kill() throws InterruptedException {
      if (process != null) {
        process.destroyForcibly().waitFor();
      }
    }

    /** Replaces the disk by an empty one; the process must have ended. */
    void loseDisk() throws IOException {
      try (Stream<Path> files = Files.walk(folder.resolve("data"))) {
        files.filter(Files::isRegularFile).forEach(p -> p.toFile().delete());
      }
    }

    private String settings(boolean bootstrap) throws IOException {
      Map<String, String> values = new HashMap<>();
      values.put("NodeName", quote(name));
      values.put("Zone", quote("zone-" + zone));
      values.put("Zones", "{\"zone-0\":\"region\",\"zone-1\":\"region\",\"zone-2\":\"region\"}");
      values.put("Ip", quote(ip));
      values.put("Listen.Front", router ? quote(ip + ":" + CALLERS_PORT) : "null");
      values.put("Listen.Ready", router ? quote(ip + ":" + READINESS_PORT) : "null");
      values.put("Listen.Control", router ? "null" : quote(operators()));
      values.put("InternalPortRange", "[" + FIRST_PEER_PORT + "," + LAST_PEER_PORT + "]");
      values.put(
          "Seeds", controls.stream().limit(3).map(c -> quote(c.operators())).toList().toString());
      values.put("Bootstrap", String.valueOf(bootstrap));
      values.put("DataDir", router ? "null" : quote(folder.resolve("data").toString()));
      values.put("FaultTolerance.Machines", String.valueOf(lostMachines));
      values.put("Limits.MemoryMb", router ? "352" : "426");
      values.put("Bounds.GraceS", "8");
      values.put("Bounds.RetryBudgetRatio", "0.2");
      values.put("Bounds.BudgetSlack", "135");
      values.put("Bounds.BudgetWindowS", "10");
      String template = Files.readString(root.resolve("deploy/settings.json"));
      return PLACEHOLDER
          .matcher(template)
          .replaceAll(m -> Matcher.quoteReplacement(values.get(m.group(1))));
    }
  }

  final List<Node> controls = new ArrayList<>();
  final List<Node> routers = new ArrayList<>();
  private final Path root;
  private final Path folder;
  private final int lostMachines;
  private final String addressPrefix;
  private int addresses;

  /** Starts a fleet; {@code root} is the checkout. */
  Fleet(Path root, int controlCount, int routerCount) throws IOException {
    this.root = root;
    lostMachines = (controlCount - 1) / 2;
    folder = Files.createTempDirectory("review-3");
    Random random = new Random();
    addressPrefix = "127." + (20 + random.nextInt(200)) + "." + (1 + random.nextInt(250)) + ".";
    for (int i = 0; i < controlCount; i++) {
      controls.add(new Node(false, i));
    }
    for (int i = 0; i < routerCount; i++) {
      routers.add(new Node(true, i));
    }
    for (Node n : Stream.concat(controls.stream(), routers.stream()).toList()) {
      n.start(true);
    }
  }

  /** Adds a control machine with an empty disk at an address of its own, and starts it. */
  Node addControl() throws IOException {
    Node node = new Node(false, controls.size());
    controls.add(node);
    node.start(false);
    return node;
  }

  /** Returns a loopback address that no other process of this script uses. */
  synchronized String nextAddress() {
    return addressPrefix + ++addresses;
  }

  private static String quote(String text) {
    return "\"" + text + "\"";
  }

  private String runLine(String role) throws IOException {
    Matcher m =
        Pattern.compile("\\[roles\\." + role + "]\\s+run = \"([^\"]*)\"")
            .matcher(Files.readString(root.resolve("deploy/system.toml")));
    if (!m.find()) {
      throw new IOException("deploy/system.toml has no run line of the role " + role);
    }
    return m.group(1);
  }

  /** Calls an interface of a daemon once. */
  static Answer call(String address, String method, String path, String body) {
    int colon = address.lastIndexOf(':');
    try (Socket socket = new Socket()) {
      int port = Integer.parseInt(address.substring(colon + 1));
      socket.connect(new InetSocketAddress(address.substring(0, colon), port), 1_000);
      socket.setSoTimeout(CALL_TIMEOUT_MILLIS);
      String head = "%s %s HTTP/1.1\r\nHost: h\r\nConnection: close\r\nContent-Length: %d\r\n\r\n";
      String request = head.formatted(method, path, body.length()) + body;
      socket.getOutputStream().write(request.getBytes(ISO_8859_1));
      String answer = new String(socket.getInputStream().readAllBytes(), ISO_8859_1);
      int end = answer.indexOf("\r\n\r\n");
      return end < 0
          ? new Answer(0, answer)
          : new Answer(Integer.parseInt(answer.substring(9, 12)), answer.substring(end + 4));
    } catch (IOException e) {
      return new Answer(0, e.toString());
    }
  }

  /** Sends a configuration until it is acknowledged, and returns whether it was. */
  boolean configure(String document) throws InterruptedException {
    long end = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(START_TIMEOUT_MILLIS);
    for (int i = 0; System.nanoTime() < end; i++) {
      String address = controls.get(i % controls.size()).operators();
      if (call(address, "POST", "/-/config/replace", document).status == 200) {
        return true;
      }
      Thread.sleep(200);
    }
    return false;
  }

  /** Waits until all routers are ready, and returns whether they are. */
  boolean awaitReady() throws InterruptedException {
    long end = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(START_TIMEOUT_MILLIS);
    for (Node n : routers) {
      while (call(n.ip + ":" + READINESS_PORT, "GET", "/-/ready", "").status != 200) {
        if (System.nanoTime() > end) {
          return false;
        }
        Thread.sleep(100);
      }
    }
    return true;
  }

  /** Returns a metric of a node, all lines that begin with the name. */
  static String metric(Node node, String name) {
    Answer answer = call(node.ip + ":" + METRICS_PORT, "GET", "/metrics", "");
    return answer.body.lines().filter(l -> l.startsWith(name)).toList().toString();
  }

  @Override
  public void close() throws IOException, InterruptedException {
    for (Node n : routers) {
      n.kill();
    }
    for (Node n : controls) {
      n.kill();
    }
    try (Stream<Path> files = Files.walk(folder)) {
      files.sorted(Comparator.reverseOrder()).forEach(p -> p.toFile().delete());
    }
  }
}
