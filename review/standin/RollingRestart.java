import java.io.IOException;
import java.io.OutputStream;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * Two of the three routers of a zone get SIGTERM, one second apart. As fewer than half of the
 * zone's routers are in rotation then, the platform uses all three, also for new connections.
 */
public final class RollingRestart {

  private static final int EVENTS = 40;
  private static final int EVENT_INTERVAL_MILLIS = 50;
  private static final int REQUEST_INTERVAL_MILLIS = 100;
  private static final long RUN_MILLIS = 12_000;

  /** The platform's view of one router. */
  private static final class Target {
    final Fleet.Node node;
    volatile int misses;
    volatile long termAt = -1;

    Target(Fleet.Node node) {
      this.node = node;
    }
  }

  private final Fleet fleet;
  private final Recorder record;
  private final List<Target> targets = new ArrayList<>();
  private final Set<String> run = ConcurrentHashMap.newKeySet();
  private final AtomicInteger broken = new AtomicInteger();
  private final AtomicInteger complete = new AtomicInteger();
  private final AtomicInteger refused = new AtomicInteger();

  private RollingRestart(Fleet fleet, Recorder record) {
    this.fleet = fleet;
    this.record = record;
  }

  public static void main(String[] args) throws Exception {
    boolean trouble = !"0".equals(System.getenv("TROUBLE"));
    int exit;
    try (Recorder record = new Recorder(Path.of(args[1]));
        Fleet fleet = new Fleet(Path.of(args[0]), record)) {
      exit = new RollingRestart(fleet, record).run(trouble);
    }
    System.exit(exit);
  }

  private int run(boolean trouble) throws Exception {
    for (int i = 1; i <= 3; i++) {
      fleet.add("core-" + i, "zone-a", "control");
    }
    for (int i = 1; i <= 3; i++) {
      targets.add(new Target(fleet.add("front-" + i, "zone-a", "router")));
    }
    for (Fleet.Node n : fleet.nodes) {
      n.start(true);
    }
    new Worker("i-1", "model", "zone-a", fleet.nextAddress(), fleet, this::stream).slots = 64;
    new Worker("i-2", "model", "zone-a", fleet.nextAddress(), fleet, this::stream).slots = 64;
    String document =
        "{\"Version\":1,\"Routes\":[{\"Name\":\"r\",\"Host\":\"h.example\",\"PathPrefix\":\"/a/\","
            + "\"Kind\":\"streaming\",\"TimeoutMs\":12000,\"TargetLatencyMs\":500,\"Priority\":0,"
            + "\"Service\":\"model\",\"MaxAttempts\":1,\"Resumable\":false,\"TargetGapMs\":500}],"
            + "\"Services\":[{\"Name\":\"model\",\"HealthPath\":\"/health\","
            + "\"MaxConnections\":771}],\"Limits\":{\"HeaderTimeoutMs\":3000,"
            + "\"IdleTimeoutMs\":15000}}";
    if (!fleet.configure(document, 30_000)) {
      return 2;
    }
    for (Target t : targets) {
      if (!fleet.awaitReady(t.node, 15_000)) {
        return 2;
      }
    }
    Thread.sleep(3_000);
    start(this::probeRegularly);
    if (trouble) {
      start(
          () -> {
            for (Target t : targets.subList(0, 2)) {
              terminate(t);
              Worker.sleep(1_000);
            }
          });
    }
    List<Thread> clients = new ArrayList<>();
    long end = record.millis() + RUN_MILLIS;
    for (int i = 0; record.millis() < end; i++) {
      int number = i;
      clients.add(start(() -> request(number)));
      Thread.sleep(REQUEST_INTERVAL_MILLIS);
    }
    for (Thread t : clients) {
      t.join(15_000);
    }
    record.log(
        "%d requests: %d complete, %d refused, %d cut though they were passed on",
        clients.size(), complete.get(), refused.get(), broken.get());
    if (complete.get() == 0) {
      return 2;
    }
    return broken.get() > 0 ? 1 : 0;
  }

  private static Thread start(Runnable task) {
    Thread thread = new Thread(task);
    thread.setDaemon(true);
    thread.start();
    return thread;
  }

  private void terminate(Target t) {
    try {
      t.termAt = record.millis();
      t.node.signal("TERM");
      start(() -> restart(t.node));
    } catch (IOException | InterruptedException e) {
      record.log("platform: SIGTERM failed: %s", e);
    }
  }

  /** Starts a router again once it has ended; the grace period is up after that time. */
  private void restart(Fleet.Node n) {
    try {
      n.awaitExit(fleet.graceSeconds * 1_000L);
      n.kill();
      Thread.sleep(500);
      n.start(false);
    } catch (IOException | InterruptedException e) {
      record.log("platform: the restart of %s failed: %s", n.name, e);
    }
  }

  /** Probes each router once a second; after two misses it is out of rotation. */
  private void probeRegularly() {
    while (true) {
      for (Target t : targets) {
        start(() -> t.misses = fleet.isReady(t.node) ? 0 : t.misses + 1);
      }
      Worker.sleep(1_000);
    }
  }

  /** Selects a router for a new connection. */
  private Target select(int hash) {
    List<Target> rotation = targets.stream().filter(t -> t.misses < 2).toList();
    List<Target> used = rotation.size() * 2 < targets.size() ? targets : rotation;
    return used.get(Math.floorMod(hash * 31 + 7, used.size()));
  }

  /** Answers with a stream of events at a steady pace. */
  private void stream(Worker worker, Http.Message request, OutputStream out)
      throws IOException, InterruptedException {
    String id = request.header("Goldcrestfall-Request-Id");
    run.add(id);
    Worker.write(
        out,
        "HTTP/1.1 200 OK\r\nGoldcrestfall-Request-Id: " + id
            + "\r\nGoldcrestfall-Server-Signature: " + worker.id + "." + id
            + "\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n");
    for (int i = 1; i <= EVENTS; i++) {
      Thread.sleep(EVENT_INTERVAL_MILLIS);
      String event = "id: " + i + "\ndata: " + id + "-" + i + "\n\n";
      Worker.write(out, Integer.toHexString(event.length()) + "\r\n" + event + "\r\n");
    }
    Worker.write(out, "0\r\n\r\n");
  }

  private void request(int number) {
    String id = "q" + number;
    Target target = select(number);
    long sentAt = 0;
    String outcome;
    try (Socket s = Http.connect(target.node.ip, fleet.frontPort, 1_000)) {
      s.setSoTimeout(12_000);
      String head =
          "POST /a/x HTTP/1.1\r\nHost: h.example\r\nGoldcrestfall-Request-Id: " + id
              + "\r\nGoldcrestfall-Deadline: 12000\r\nContent-Length: 2\r\n\r\nhi";
      sentAt = record.millis();
      s.getOutputStream().write(head.getBytes(StandardCharsets.ISO_8859_1));
      record.log("client: %s is sent to %s", id, target.node.name);
      Http.Message m = Http.readResponse(s.getInputStream());
      long events = m.text().lines().filter(l -> l.startsWith("id: ")).count();
      if (m.status() == 200 && m.complete() && events == EVENTS) {
        complete.incrementAndGet();
        record.log("client: %s is answered in full", id);
        return;
      }
      if (m.status() == 503 && m.complete()) {
        refused.incrementAndGet();
        record.log("client: %s is refused with 503", id);
        return;
      }
      outcome = m.status() + ", " + events + " events, then the connection ended";
    } catch (IOException e) {
      outcome = "no answer: " + e.getMessage();
    }
    judge(id, target, sentAt, outcome);
  }

  /** Applies the rule LOST to a request without a complete answer. */
  private void judge(String id, Target target, long sentAt, String outcome) {
    long now = record.millis();
    boolean planned =
        target.termAt >= 0 && now <= target.termAt + (fleet.graceSeconds + 1) * 1_000L;
    boolean passedOn = run.contains(id);
    boolean excused =
        sentAt <= target.termAt + 3_000
            && now >= target.termAt + fleet.graceSeconds * 1_000L * 5 / 6;
    boolean counts = planned && passedOn && !excused;
    if (counts) {
      broken.incrementAndGet();
    }
    record.log(
        "%sclient: %s, sent to %s at %.3f s, %.3f s after its SIGTERM: %s; %s",
        counts ? "RULE BROKEN: LOST, " : "",
        id,
        target.node.name,
        sentAt / 1000.0,
        (sentAt - target.termAt) / 1000.0,
        outcome,
        passedOn ? "a worker ran it" : "not passed on");
  }
}
