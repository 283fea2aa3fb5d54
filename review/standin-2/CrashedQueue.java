import java.io.BufferedInputStream;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.file.Path;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicLong;

/**
 * Under steady traffic whose prompts consist of many shared parts, a quarter of the workers crash
 * with requests whose answer has not begun. Just after it, the operator reads the configuration back
 * at all control daemons, and sends the next one.
 */
public final class CrashedQueue {

  private static final int ROUTERS = 21;
  private static final int WORKERS = 8;
  private static final int CRASHING = 2;
  private static final int SHARED_PARTS = 32;
  private static final int REQUESTS_PER_SECOND = 330;
  private static final String PROMPT_MILLIS = "1900";
  private static final int EVENTS = 3;

  /** Bounds of the pages: ContactMs, and AckMs with 3 ms for the route. */
  private static final int CONTACT_MILLIS = 3_000;
  private static final int ACK_MILLIS = 4_003;

  private static final String HOST = "calls.example";

  private final Fleet fleet;
  private final Record record;
  private final AtomicInteger sent = new AtomicInteger();
  private final Map<String, Integer> outcomes = new ConcurrentHashMap<>();
  private volatile boolean trafficEnded;

  private CrashedQueue(Fleet fleet, Record record) {
    this.fleet = fleet;
    this.record = record;
  }

  /** Argument: the file of the record. */
  public static void main(String[] args) throws Exception {
    boolean trouble = !"0".equals(System.getenv("TROUBLE"));
    int result = 2;
    try (Record record = new Record(Path.of(args[0]))) {
      try (Fleet fleet = new Fleet(5, ROUTERS, record)) {
        result = new CrashedQueue(fleet, record).run(trouble) ? 0 : 1;
      } catch (Exception e) {
        record.report("the case could not run: %s", e);
        result = 2;
      }
    }
    System.exit(result);
  }

  private static String configuration(long version) {
    return ("{\"Version\":%d,\"Routes\":[{\"Name\":\"r-1\",\"Host\":\"%s\",\"PathPrefix\":\"/ask/\","
            + "\"Kind\":\"streaming\",\"TimeoutMs\":12000,\"TargetLatencyMs\":2000,\"Priority\":0,"
            + "\"Service\":\"model\",\"MaxAttempts\":1,\"Public\":false,\"Sticky\":true,"
            + "\"Resumable\":false,\"TargetGapMs\":500}],\"Services\":[{\"Name\":\"model\","
            + "\"HealthPath\":\"/health\",\"MaxConnections\":771,\"Protocol\":\"h1\",\"Tls\":false,"
            + "\"Engine\":{\"Slots\":64,\"KvCapacity\":594063,\"TokenKvBytes\":163840,\"Stride\":5,"
            + "\"Models\":[{\"Name\":\"m\"}]}}],\"Limits\":{\"MaxHeaderBytes\":16384,"
            + "\"MaxBodyBytes\":4194304,\"HeaderTimeoutMs\":3000,\"IdleTimeoutMs\":15000},"
            + "\"Tenants\":[{\"Name\":\"yard\",\"ApiKeys\":[\"k1\"],\"Priority\":1}]}")
        .formatted(version, HOST);
  }

  private boolean run(boolean trouble) throws Exception {
    fleet.start(configuration(1));
    Process[] workers = new Process[WORKERS];
    for (int i = 0; i < WORKERS; i++) {
      String zone = "zone-" + "abc".charAt(i % 3);
      workers[i] = fleet.startWorker("w-" + i, "model", zone, PROMPT_MILLIS, EVENTS + "");
    }
    fleet.awaitReady();
    Thread.sleep(5_000);
    start(this::sendTraffic);
    Thread.sleep(8_000);
    Fleet.Answer second = fleet.replace(configuration(2));
    record.report("version 2 is answered %s", second.status());
    if (second.status() != 200) {
      throw new IOException("version 2 is not acknowledged");
    }
    Thread.sleep(1_000);
    if (trouble) {
      for (int i = 0; i < CRASHING; i++) {
        workers[i].destroyForcibly();
      }
      record.log("workers w-0 to w-%s crash", CRASHING - 1);
    }
    boolean held = operate();
    trafficEnded = true;
    Thread.sleep(3_000);
    reportTraffic();
    return held;
  }

  /** Reads the configuration back and sends version 3; returns whether both are answered in time. */
  private boolean operate() throws InterruptedException {
    Thread.sleep(1_000);
    final long start = record.nowMillis();
    record.log("operator: the day ends; reads back version 2 for %s ms", CONTACT_MILLIS);
    AtomicInteger good = new AtomicInteger();
    AtomicInteger bad = new AtomicInteger();
    AtomicLong firstGoodMillis = new AtomicLong(-1);
    for (Fleet.Node n : fleet.controls) {
      start(() -> readRepeatedly(n, start, good, bad, firstGoodMillis));
    }
    long ackedMillis = -1;
    while (ackedMillis < 0 && record.nowMillis() - start < 40_000) {
      Fleet.Answer a = fleet.replace(configuration(3));
      record.log("operator: version 3 is answered %s", a.status());
      ackedMillis = a.status() == 200 ? record.nowMillis() - start : -1;
    }
    while (record.nowMillis() - start < CONTACT_MILLIS + 1_500 || firstGoodMillis.get() < 0) {
      Thread.sleep(100);
      if (record.nowMillis() - start > 40_000) {
        break;
      }
    }
    boolean readBack = good.get() > 0;
    boolean acked = ackedMillis >= 0 && ackedMillis <= ACK_MILLIS;
    record.report(
        "reads sent in %s ms: %s answered 200, %s not; the first 200 of all came after %s ms",
        CONTACT_MILLIS, good, bad, firstGoodMillis);
    record.report("version 3 was acknowledged after %s ms", ackedMillis);
    record.report("CONFIG, read back: %s", readBack ? "held" : "broken");
    record.report("Acks, version 3 within %s ms: %s", ACK_MILLIS, acked ? "held" : "broken");
    return readBack;
  }

  private void readRepeatedly(
      Fleet.Node n, long start, AtomicInteger good, AtomicInteger bad, AtomicLong firstGood) {
    while (record.nowMillis() - start < 40_000 && firstGood.get() < 0
        || record.nowMillis() - start < CONTACT_MILLIS) {
      boolean counts = record.nowMillis() - start < CONTACT_MILLIS;
      Fleet.Answer a = fleet.read(n);
      record.log("operator: %s answers a read with %s", n.name, a.status());
      if (a.status() == 200) {
        firstGood.compareAndSet(-1, record.nowMillis() - start);
      }
      if (counts) {
        (a.status() == 200 ? good : bad).incrementAndGet();
      }
      Worker.sleep(100);
    }
  }

  private void sendTraffic() {
    long start = record.nowMillis();
    for (int i = 0; !trafficEnded; i++) {
      long due = start + i * 1_000L / REQUESTS_PER_SECOND;
      Worker.sleep(Math.max(0, due - record.nowMillis()));
      int number = i;
      start(() -> send(number));
    }
  }

  private static void start(Runnable task) {
    Thread t = new Thread(null, task, "client", 256 << 10);
    t.setDaemon(true);
    t.start();
  }

  private static String prompt(int number) {
    StringBuilder parts = new StringBuilder();
    for (int i = 0; i < SHARED_PARTS; i++) {
      parts.append("%08x:20,".formatted(0x5c1e_0000 + i));
    }
    return parts + "%08x:346".formatted(0x0100_0000 + number);
  }

  private void send(int number) {
    Fleet.Node router = fleet.routers.get(number % ROUTERS);
    String id = "%016x".formatted(0x5000_0000L + number);
    String outcome;
    try (Socket s = new Socket()) {
      s.connect(new InetSocketAddress(router.ip, fleet.frontPort()), 1_000);
      s.setSoTimeout(8_000);
      sent.incrementAndGet();
      Http.write(
          s.getOutputStream(),
          "POST /ask/1 HTTP/1.1\r\nHost: " + HOST + "\r\nGoldcrestfall-Request-Id: " + id
              + "\r\nGoldcrestfall-Model: m\r\nGoldcrestfall-Token-Count: "
              + (20 * SHARED_PARTS + 346) + ",15\r\nGoldcrestfall-Prompt-Prefix: " + prompt(number)
              + "\r\nGoldcrestfall-Deadline: 12000\r\nAuthorization: Token k1\r\n"
              + "Content-Length: 5\r\n\r\nhello");
      Http.Message m = Http.read(new BufferedInputStream(s.getInputStream()));
      outcome = m == null ? "closed" : String.valueOf(m.status());
    } catch (IOException e) {
      outcome = e.getClass().getSimpleName();
    }
    record.log("client: request %s to %s ends with %s", id, router.name, outcome);
    outcomes.merge(outcome, 1, Integer::sum);
  }

  private void reportTraffic() throws IOException {
    record.report("clients sent %s requests: %s", sent, new TreeMap<>(outcomes));
    for (int i = 0; i < WORKERS; i++) {
      long arrived = fleet.workerLog("w-" + i).stream().filter(l -> l.contains("arrives")).count();
      List<String> runs =
          fleet.workerLog("w-" + i).stream()
              .filter(l -> l.contains("runs"))
              .map(l -> l.split(" ")[2])
              .toList();
      int ran = runs.size();
      record.log("worker w-%s ran %s", i, String.join(" ", runs));
      record.report("worker w-%s: %s requests arrived, %s ran", i, arrived, ran);
    }
  }
}
