import java.io.IOException;
import java.io.OutputStream;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicLong;

/**
 * Three of five routers are killed at the same moment and are back 3.5 s later, while a tenant uses
 * its prepaid tokens evenly. The tenant must be served until its total is nearly used.
 */
public final class KilledRouters {

  private static final long PREPAID = 500_000;
  private static final int PROMPT_TOKENS = 2_000;
  private static final int MAX_OUTPUT_TOKENS = 8_000;
  private static final int EVENTS = 10;
  private static final int TOKENS_PER_EVENT = 50;
  private static final int REQUEST_INTERVAL_MILLIS = 250;
  private static final long RUN_MILLIS = 45_000;
  private static final long KILL_AFTER_MILLIS = 8_000;
  private static final long DARK_MILLIS = 3_500;
  private static final long CONTACT_MILLIS = 3_000;
  private static final long SETTLE_MILLIS = 1_500;
  private static final int KILLED = 3;
  private static final double BUSY_SHARE = 0.6;

  /** Share of the total up to which a request is owed. */
  private static final double OWED_SHARE = 0.97;

  private final Fleet fleet;
  private final Recorder record;
  private final Map<Fleet.Node, Long> startedAt = new ConcurrentHashMap<>();
  private final AtomicLong used = new AtomicLong();

  /** Requests that are open or ended less than SETTLE_MILLIS ago, which count at their most. */
  private final AtomicInteger unsettled = new AtomicInteger();

  private final AtomicInteger served = new AtomicInteger();
  private final AtomicInteger denied = new AtomicInteger();
  private final AtomicInteger sent = new AtomicInteger();

  private KilledRouters(Fleet fleet, Recorder record) {
    this.fleet = fleet;
    this.record = record;
  }

  public static void main(String[] args) throws Exception {
    boolean trouble = !"0".equals(System.getenv("TROUBLE"));
    int exit;
    try (Recorder record = new Recorder(Path.of(args[1]));
        Fleet fleet = new Fleet(Path.of(args[0]), record)) {
      exit = new KilledRouters(fleet, record).run(trouble);
    }
    System.exit(exit);
  }

  private int run(boolean trouble) throws Exception {
    String[] zones = {"zone-a", "zone-b", "zone-c", "zone-a", "zone-b"};
    for (int i = 0; i < zones.length; i++) {
      fleet.add("core-" + (i + 1), zones[i], "control");
    }
    for (int i = 0; i < zones.length; i++) {
      fleet.add("front-" + (i + 1), zones[i], "router");
    }
    for (Fleet.Node n : fleet.nodes) {
      n.start(true);
      startedAt.put(n, record.millis());
    }
    for (int i = 1; i <= 3; i++) {
      new Worker("i-" + i, "model", "zone-a", fleet.nextAddress(), fleet, this::stream).slots = 64;
    }
    String document =
        "{\"Version\":1,\"Routes\":[{\"Name\":\"r\",\"Host\":\"h.example\",\"PathPrefix\":\"/a/\","
            + "\"Kind\":\"streaming\",\"TimeoutMs\":12000,\"TargetLatencyMs\":500,\"Priority\":0,"
            + "\"Service\":\"model\",\"MaxAttempts\":1,\"Public\":false,\"Sticky\":true,"
            + "\"Resumable\":false,\"TargetGapMs\":500}],\"Services\":[{\"Name\":\"model\","
            + "\"HealthPath\":\"/health\",\"MaxConnections\":771,\"Engine\":{\"Slots\":64,"
            + "\"KvCapacity\":594063,\"Stride\":" + TOKENS_PER_EVENT + "}}],\"Limits\":{"
            + "\"HeaderTimeoutMs\":3000,\"IdleTimeoutMs\":15000},\"Tenants\":[{\"Name\":\"t\","
            + "\"ApiKeys\":[\"k\"],\"Prepaid\":" + PREPAID + "}]}";
    if (!fleet.configure(document, 30_000)) {
      return 2;
    }
    for (Fleet.Node n : fleet.routers()) {
      if (!fleet.awaitReady(n, 15_000)) {
        return 2;
      }
    }
    Thread.sleep(3_000);
    if (trouble) {
      Thread killer = new Thread(this::killRouters);
      killer.setDaemon(true);
      killer.start();
    }
    List<Thread> clients = new ArrayList<>();
    long end = record.millis() + RUN_MILLIS;
    while (record.millis() < end) {
      Thread t = new Thread(this::request);
      t.start();
      clients.add(t);
      Thread.sleep(REQUEST_INTERVAL_MILLIS);
    }
    for (Thread t : clients) {
      t.join(15_000);
    }
    double allowed = 5 + sent.get() / 500.0;
    record.log(
        "%d requests sent, %d served, %d of %d tokens used; %d denied with 402 by machines in"
            + " touch though the total covers them, %.1f allowed",
        sent.get(), served.get(), used.get(), PREPAID, denied.get(), allowed);
    if (served.get() == 0) {
      return 2;
    }
    if (denied.get() > allowed) {
      record.log("RULE BROKEN: DENIED");
      return 1;
    }
    return 0;
  }

  private void killRouters() {
    try {
      Thread.sleep(KILL_AFTER_MILLIS);
      List<Fleet.Node> killed = fleet.routers().subList(0, KILLED);
      for (Fleet.Node n : killed) {
        startedAt.remove(n);
        n.kill();
      }
      Thread.sleep(DARK_MILLIS);
      for (Fleet.Node n : killed) {
        n.start(false);
        startedAt.put(n, record.millis());
      }
    } catch (IOException | InterruptedException e) {
      record.log("platform: %s", e);
    }
  }

  private void stream(Worker worker, Http.Message request, OutputStream out)
      throws IOException, InterruptedException {
    String id = request.header("Goldcrestfall-Request-Id");
    // The prompt counts once it has been read; each event counts when it is delivered.
    used.addAndGet(PROMPT_TOKENS);
    Worker.write(
        out,
        "HTTP/1.1 200 OK\r\nGoldcrestfall-Request-Id: " + id
            + "\r\nGoldcrestfall-Server-Signature: " + worker.id + "." + id
            + "\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n");
    for (int i = 1; i <= EVENTS; i++) {
      Thread.sleep(20);
      String event = "id: " + i + "\ndata: " + id + "-" + i + "\n\n";
      Worker.write(out, Integer.toHexString(event.length()) + "\r\n" + event + "\r\n");
      used.addAndGet(TOKENS_PER_EVENT);
    }
    Worker.write(out, "0\r\n\r\n");
  }

  /** Selects a router; the platform's shares are uneven, and the first three get most clients. */
  private Fleet.Node select(List<Fleet.Node> running) {
    List<Fleet.Node> busy = fleet.routers().subList(0, KILLED);
    List<Fleet.Node> preferred = running.stream().filter(busy::contains).toList();
    List<Fleet.Node> others =
        preferred.isEmpty() || Math.random() > BUSY_SHARE ? running : preferred;
    return others.get((int) (Math.random() * others.size()));
  }

  /** Sends one request to a router that runs and is ready. */
  private void request() {
    List<Fleet.Node> running =
        fleet.routers().stream().filter(startedAt::containsKey).filter(fleet::isReady).toList();
    if (running.isEmpty()) {
      return;
    }
    String id = "q" + sent.incrementAndGet();
    Fleet.Node router = select(running);
    long most =
        used.get() + unsettled.incrementAndGet() * (long) (PROMPT_TOKENS + MAX_OUTPUT_TOKENS);
    try (Socket s = Http.connect(router.ip, fleet.frontPort, 1_000)) {
      s.setSoTimeout(12_000);
      String head =
          "POST /a/x HTTP/1.1\r\nHost: h.example\r\nAuthorization: Token k\r\n"
              + "Goldcrestfall-Request-Id: " + id + "\r\nGoldcrestfall-Deadline: 12000\r\n"
              + "Goldcrestfall-Model: m\r\nGoldcrestfall-Token-Count: " + PROMPT_TOKENS + ","
              + MAX_OUTPUT_TOKENS + "\r\nGoldcrestfall-Prompt-Prefix: aa:500," + id.substring(1)
              + "0:1500\r\nContent-Length: 2\r\n\r\nhi";
      s.getOutputStream().write(head.getBytes(StandardCharsets.ISO_8859_1));
      record.log("client: %s is sent to %s", id, router.name);
      Http.Message m = Http.readResponse(s.getInputStream());
      if (m.status() == 200) {
        served.incrementAndGet();
        record.log("client: %s is answered with 200, %s", id, m.complete() ? "whole" : "cut");
        return;
      }
      Long since = startedAt.get(router);
      boolean inTouch = since != null && record.millis() - since > CONTACT_MILLIS;
      boolean owed = most <= OWED_SHARE * PREPAID;
      boolean counts = m.status() == 402 && inTouch && owed;
      if (counts) {
        denied.incrementAndGet();
      }
      record.log(
          "client: %s at %s: %d%s; at most %d of %d tokens are used",
          id, router.name, m.status(), counts ? ", denied" : "", most, PREPAID);
    } catch (IOException e) {
      record.log("client: %s at %s: %s", id, router.name, e.getMessage());
    } finally {
      Worker.sleep(SETTLE_MILLIS);
      unsettled.decrementAndGet();
    }
  }
}
