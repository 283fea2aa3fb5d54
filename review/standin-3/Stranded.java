import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.PrintWriter;
import java.net.Socket;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * A tenant's requests, some of which are larger than its balance. With the disruption, the router
 * that has refused those is killed and started again. The other routers then serve the tenant until
 * its balance is used up, or they refuse requests that it covers.
 */
final class Stranded {

  private static final String KEY = "n2ctnfzs989anu6wsjnb";
  private static final long PREPAID = 200_000;
  private static final int PROMPT = 500;
  private static final int MOST = 100;
  private static final int LARGE_PROMPT = 100_000;
  private static final int LARGE_MOST = 480_000;

  /** Number of routers, of which one is killed: a share of 0.17. */
  private static final int ROUTERS = 6;

  /** A request that does not fit into this share of the balance is not owed. */
  private static final double OWED_SHARE = 0.97;

  private static final int START_MILLIS = 4_000;
  private static final int LARGE_REQUESTS = 15;
  private static final int LARGE_INTERVAL_MILLIS = 200;
  private static final int RESTART_MILLIS = 1_000;

  /** ContactMs, and time for the killed router to start. */
  private static final int CALM_MILLIS = 6_000;

  /** Denials after which no more requests are sent. */
  private static final int MAX_DENIED = 100;

  private static final String CONFIGURATION =
      """
      {"Version":7,"Routes":[{"Name":"r-1","Host":"ficu95.example","PathPrefix":"/lohu930/",
      "Kind":"streaming","TimeoutMs":15000,"TargetLatencyMs":1000,"Priority":1,
      "Service":"huvo11a","MaxAttempts":1,"Public":false,"Sticky":true,"Resumable":false,
      "TargetGapMs":500}],"Services":[{"Name":"huvo11a","HealthPath":"/health",
      "MaxConnections":863,"Protocol":"h1","Tls":false,"Engine":{"Slots":64,"KvCapacity":584028,
      "TokenKvBytes":163840,"LinkMbps":1100000.0,"Moves":false,"Backups":false,"Stride":5,
      "most":12,"PinMs":4000.0,"HoldMs":2000.0,"HandleS":5.0,"Models":[{"Name":"m"}]}}],
      "Limits":{"MaxHeaderBytes":16384,"MaxBodyBytes":4194304,"HeaderTimeoutMs":3000,
      "IdleTimeoutMs":15000},"Tenants":[{"Name":"hule930","ApiKeys":["%s"],"Priority":1,
      "Prepaid":%d}]}
      """
          .formatted(KEY, PREPAID);

  private final PrintWriter record;
  private final AtomicInteger ids = new AtomicInteger();
  private final Map<Integer, Integer> statuses = new TreeMap<>();
  private long consumed;
  private int requests;
  private int deniedThoughCovered;

  private Stranded(PrintWriter record) {
    this.record = record;
  }

  public static void main(String[] args) throws Exception {
    Path root = Path.of(args[0]).toRealPath();
    boolean trouble = !"0".equals(System.getenv("TROUBLE"));
    int exit = 2;
    try (PrintWriter record = new PrintWriter(Files.newBufferedWriter(Path.of(args[1])), true)) {
      try {
        exit = new Stranded(record).run(root, trouble);
      } catch (Exception e) {
        // An exit with 1 would say that the rule was broken.
        record.println("the case could not run: " + e);
      }
      record.println("exit " + exit);
    }
    System.exit(exit);
  }

  private int run(Path root, boolean trouble) throws Exception {
    record.println("disruption: " + trouble);
    try (Fleet fleet = new Fleet(root, 3, ROUTERS)) {
      List<String> controls = fleet.controls.stream().map(Fleet.Node::operators).toList();
      List<Engine> engines = new ArrayList<>();
      for (int i = 0; i < 2; i++) {
        engines.add(new Engine(fleet.nextAddress(), "i-" + i, "huvo11a", controls));
      }
      if (!fleet.configure(CONFIGURATION) || !fleet.awaitReady()) {
        record.println("the fleet did not become ready");
        return 2;
      }
      Thread.sleep(START_MILLIS);
      final Fleet.Node killed = fleet.routers.get(0);
      final List<Fleet.Node> others = fleet.routers.subList(1, ROUTERS);
      Map<Integer, Integer> large = new TreeMap<>();
      for (int i = 0; i < LARGE_REQUESTS; i++) {
        sendAndCount(others.get(i % others.size()));
        large.merge(send(killed, LARGE_PROMPT, LARGE_MOST).status(), 1, Integer::sum);
        Thread.sleep(LARGE_INTERVAL_MILLIS);
      }
      record.println("large requests, answers by status: " + large);
      if (trouble) {
        killed.kill();
        record.println(killed.name + " is killed; " + consumed + " tokens are consumed so far");
        Thread.sleep(RESTART_MILLIS);
        killed.start(false);
      }
      Thread.sleep(CALM_MILLIS);
      for (int i = 0; deniedThoughCovered < MAX_DENIED && consumed < OWED_SHARE * PREPAID; i++) {
        sendAndCount(others.get(i % others.size()));
        if (i > 4 * PREPAID / (PROMPT + MOST)) {
          break;
        }
      }
      int allowed = 5 + requests / 500;
      record.println("requests of " + (PROMPT + MOST) + " tokens: " + requests + " " + statuses);
      int runs = engines.stream().mapToInt(e -> e.runs.get()).sum();
      record.println("runs at the workers: " + runs);
      record.println("tokens consumed: " + consumed + " of " + PREPAID + " prepaid");
      record.println("402 though covered: " + deniedThoughCovered + ", allowed " + allowed);
      if (consumed == 0) {
        return 2;
      }
      return deniedThoughCovered > allowed ? 1 : 0;
    }
  }

  /** Sends a request of the usual size; requests are sent one after the other. */
  private void sendAndCount(Fleet.Node router) {
    final boolean owed = consumed + PROMPT + MOST <= OWED_SHARE * PREPAID;
    Http.Reply reply = send(router, PROMPT, MOST);
    requests++;
    statuses.merge(reply.status(), 1, Integer::sum);
    if (reply.status() == 200) {
      long events = reply.body().lines().filter(l -> l.startsWith("id:")).count();
      consumed += PROMPT + events * Engine.STRIDE;
    } else if (reply.status() == 402 && owed) {
      deniedThoughCovered++;
    }
  }

  private Http.Reply send(Fleet.Node router, long prompt, long most) {
    try (Socket socket = new Socket(router.callers().getAddress(), router.callers().getPort())) {
      socket.setSoTimeout(15_000);
      String request =
          "POST /lohu930/2f HTTP/1.1\r\nHost: ficu95.example\r\nConnection: close\r\n"
              + "Goldcrestfall-Request-Id: %016x\r\nGoldcrestfall-Model: m\r\n"
              + "Goldcrestfall-Token-Count: %d,%d\r\nGoldcrestfall-Prompt-Prefix: 5c1e07a2:%d\r\n"
              + "Goldcrestfall-Deadline: 15004\r\nAuthorization: Token %s\r\n"
              + "Content-Length: 2\r\n\r\nhi";
      String text = request.formatted(ids.incrementAndGet(), prompt, most, prompt, KEY);
      Http.write(socket.getOutputStream(), text);
      return Http.readReply(new BufferedInputStream(socket.getInputStream()));
    } catch (IOException e) {
      return new Http.Reply(0, Map.of(), "", false);
    }
  }
}
