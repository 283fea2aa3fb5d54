import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.PrintWriter;
import java.net.Socket;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/**
 * A tenant with a prepaid budget sends more requests than the budget covers. With the disruption,
 * one request before them states a maximum of output tokens that is larger than any worker's memory.
 */
final class Unbounded {

  private static final String KEY = "n2ctnfzs989anu6wsjnb";
  private static final long PREPAID = 100_000;
  private static final int PROMPT = 1_000;
  private static final int MOST = 200;
  private static final int REQUESTS = 300;

  /** The prompt of the large request, which alone fits into a worker's memory. */
  private static final long LARGE_PROMPT = 200_000;

  /** The largest number, for a client that sets no maximum of output tokens. */
  private static final long NO_MAXIMUM = Long.MAX_VALUE;

  /** Time that the daemons have to replicate and hand out the tenant's tokens. */
  private static final int SETTLE_MILLIS = 5_000;

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
  private int requests;

  private Unbounded(PrintWriter record) {
    this.record = record;
  }

  public static void main(String[] args) throws Exception {
    Path root = Path.of(args[0]).toRealPath();
    boolean trouble = !"0".equals(System.getenv("TROUBLE"));
    int exit = 2;
    try (PrintWriter record = new PrintWriter(Files.newBufferedWriter(Path.of(args[1])), true)) {
      try {
        exit = new Unbounded(record).run(root, trouble);
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
    try (Fleet fleet = new Fleet(root, 3, 2);
        Engine first =
            new Engine(
                fleet.nextAddress(),
                "i-7f3a91c2",
                "huvo11a",
                fleet.controls.stream().map(Fleet.Node::operators).toList());
        Engine second =
            new Engine(
                fleet.nextAddress(),
                "i-7f3a91c3",
                "huvo11a",
                fleet.controls.stream().map(Fleet.Node::operators).toList())) {
      if (!fleet.configure(CONFIGURATION) || !fleet.awaitReady()) {
        record.println("the fleet did not become ready");
        return 2;
      }
      Thread.sleep(SETTLE_MILLIS);
      if (trouble) {
        Http.Reply reply = send(fleet.routers.get(0), LARGE_PROMPT, NO_MAXIMUM);
        record.println(
            "large request " + LARGE_PROMPT + "," + NO_MAXIMUM + ": status " + reply.status());
      }
      return load(fleet, List.of(first, second));
    }
  }

  /** Sends the load and compares what the tenant has got with its budget. */
  private int load(Fleet fleet, List<Engine> engines) throws Exception {
    Map<Integer, Integer> statuses = new TreeMap<>();
    long consumed = 0;
    for (int i = 0; i < REQUESTS; i++) {
      Http.Reply reply = send(fleet.routers.get(i % fleet.routers.size()), PROMPT, MOST);
      statuses.merge(reply.status(), 1, Integer::sum);
      if (reply.status() == 200) {
        long events = reply.body().lines().filter(l -> l.startsWith("id:")).count();
        consumed += PROMPT + events * Engine.STRIDE;
      }
    }
    int runs = engines.stream().mapToInt(e -> e.runs.get()).sum();
    record.println("requests of " + (PROMPT + MOST) + " tokens at most: " + REQUESTS);
    record.println("answers by status: " + statuses + "; runs at the workers: " + runs);
    record.println("tokens consumed: " + consumed + " of " + PREPAID + " prepaid");
    if (consumed == 0) {
      return 2;
    }
    return consumed > PREPAID ? 1 : 0;
  }

  private Http.Reply send(Fleet.Node router, long prompt, long most) throws IOException {
    try (Socket socket = new Socket(router.callers().getAddress(), router.callers().getPort())) {
      socket.setSoTimeout(15_000);
      String request =
          "POST /lohu930/2f HTTP/1.1\r\nHost: ficu95.example\r\nConnection: close\r\n"
              + "Goldcrestfall-Request-Id: %016x\r\nGoldcrestfall-Model: m\r\n"
              + "Goldcrestfall-Token-Count: %d,%d\r\nGoldcrestfall-Prompt-Prefix: 5c1e07a2:%d\r\n"
              + "Goldcrestfall-Deadline: 15004\r\nAuthorization: Token %s\r\n"
              + "Content-Length: 2\r\n\r\nhi";
      String text = request.formatted(++requests, prompt, most, prompt, KEY);
      Http.write(socket.getOutputStream(), text);
      InputStream in = new BufferedInputStream(socket.getInputStream());
      return Http.readReply(in);
    }
  }
}
