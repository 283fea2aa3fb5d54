import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.PrintWriter;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.atomic.AtomicInteger;

/** Workers in need, which state for some seconds that they take no requests. */
final class ZeroLimit {

  private static final List<String> SERVICES = List.of("huvo11a", "wuno96b");
  private static final int WORKERS = 3;
  private static final int HEARTBEAT_MILLIS = 1_200;
  private static final int NEED_MILLIS = 5_000;
  private static final int RECOVERY_MILLIS = 12_000;
  private static final int LOAD_MILLIS = 20_000;
  private static final int INTERVAL_MILLIS = 50;

  /** A route is starved if it is served less than this share as often as all. */
  private static final double STARVED_SHARE = 0.25;

  private static final String ROUTE =
      """
      {"Name":"r-%1$s","Host":"ficu95.example","PathPrefix":"/%1$s/","Kind":"unsafe",
      "TimeoutMs":4000,"TargetLatencyMs":300,"Priority":2,"Service":"%1$s","MaxAttempts":2,
      "Public":true,"Sticky":false,"Resumable":false}
      """;
  private static final String SERVICE =
      """
      {"Name":"%s","HealthPath":"/health","MaxConnections":257,"Protocol":"h1","Tls":false}
      """;

  private final PrintWriter record;
  private final AtomicInteger ids = new AtomicInteger();
  private volatile boolean inNeed;
  private volatile boolean ended;

  private ZeroLimit(PrintWriter record) {
    this.record = record;
  }

  public static void main(String[] args) throws Exception {
    Path root = Path.of(args[0]).toRealPath();
    boolean trouble = !"0".equals(System.getenv("TROUBLE"));
    int exit = 2;
    try (PrintWriter record = new PrintWriter(Files.newBufferedWriter(Path.of(args[1])), true)) {
      try {
        exit = new ZeroLimit(record).run(root, trouble);
      } catch (Exception e) {
        // An exit with 1 would say that the rule was broken.
        record.println("the case could not run: " + e);
      }
      record.println("exit " + exit);
    }
    System.exit(exit);
  }

  private static String configuration() {
    StringBuilder routes = new StringBuilder();
    StringBuilder services = new StringBuilder();
    for (String s : SERVICES) {
      routes.append(routes.isEmpty() ? "" : ",").append(ROUTE.formatted(s));
      services.append(services.isEmpty() ? "" : ",").append(SERVICE.formatted(s));
    }
    return "{\"Version\":7,\"Routes\":[%s],\"Services\":[%s]}".formatted(routes, services);
  }

  /** A worker of a plain service; those of the second service get into need. */
  private final class Worker {
    private final String service;
    private final String id;
    private final ServerSocket server = new ServerSocket();
    private final AtomicInteger signatures = new AtomicInteger();

    Worker(Fleet fleet, String service, int number) throws IOException {
      this.service = service;
      id = "i-" + service + "-" + number;
      server.bind(new InetSocketAddress(fleet.nextAddress(), 0), 100);
      Threads.start(
          () -> {
            while (true) {
              Socket socket = server.accept();
              socket.setTcpNoDelay(true);
              Threads.start(() -> serve(socket));
            }
          });
      List<String> controls = fleet.controls.stream().map(Fleet.Node::operators).toList();
      Threads.start(() -> announce(controls));
    }

    private void announce(List<String> controls) throws InterruptedException {
      String format =
          "{\"Service\":\"%s\",\"Address\":\"%s:%d\",\"Zone\":\"zone-0\",\"Version\":\"v1\","
              + "\"Slots\":6,\"State\":\"ready\",\"ColdRemainingMs\":0,\"Sequence\":%d,"
              + "\"born\":%d}";
      long born = System.currentTimeMillis();
      String ip = server.getInetAddress().getHostAddress();
      for (int i = 1; !ended; i++) {
        String body = format.formatted(service, ip, server.getLocalPort(), i, born);
        String path = "/-/instances/" + id + "/heartbeat";
        Fleet.call(controls.get(i % controls.size()), "POST", path, body);
        Thread.sleep(HEARTBEAT_MILLIS);
      }
    }

    private void serve(Socket socket) throws IOException, InterruptedException {
      try (socket) {
        InputStream in = new BufferedInputStream(socket.getInputStream());
        while (true) {
          Http.readLine(in);
          Map<String, String> headers = Http.readHeaders(in);
          in.readNBytes(Integer.parseInt(headers.getOrDefault("content-length", "0")));
          Thread.sleep(20);
          String head =
              "HTTP/1.1 200 OK\r\nGoldcrestfall-Request-Id: "
                  + headers.get("goldcrestfall-request-id")
                  + "\r\nGoldcrestfall-Server-Signature: "
                  + id
                  + "."
                  + signatures.incrementAndGet()
                  + "\r\n";
          boolean stated = inNeed && service.equals(SERVICES.get(1));
          String limit = stated ? "Server-Limit: 0\r\n" : "";
          Http.write(socket.getOutputStream(), head + limit + "Content-Length: 2\r\n\r\nok");
        }
      }
    }
  }

  private int run(Path root, boolean trouble) throws Exception {
    record.println("disruption: " + trouble);
    try (Fleet fleet = new Fleet(root, 3, 2)) {
      for (String service : SERVICES) {
        for (int i = 0; i < WORKERS; i++) {
          new Worker(fleet, service, i);
        }
      }
      if (!fleet.configure(configuration()) || !fleet.awaitReady()) {
        record.println("the fleet did not become ready");
        return 2;
      }
      Thread.sleep(5_000);
      inNeed = trouble;
      load(fleet, "while the workers are in need", NEED_MILLIS);
      inNeed = false;
      load(fleet, "after that", RECOVERY_MILLIS);
      Map<String, Map<Integer, Integer>> late =
          load(fleet, RECOVERY_MILLIS + " ms after that and later", LOAD_MILLIS);
      ended = true;
      double kind = served(List.of(late.get(SERVICES.get(1))));
      double all = served(List.copyOf(late.values()));
      record.printf("served of the route to %s: %.3f, of all: %.3f%n", SERVICES.get(1), kind, all);
      return kind < STARVED_SHARE * all ? 1 : 0;
    }
  }

  private Map<String, Map<Integer, Integer>> load(Fleet fleet, String when, int millis)
      throws InterruptedException {
    Map<String, Map<Integer, Integer>> statuses = new TreeMap<>();
    long end = System.currentTimeMillis() + millis;
    for (int i = 0; System.currentTimeMillis() < end; i++) {
      Fleet.Node router = fleet.routers.get(i % fleet.routers.size());
      for (String service : SERVICES) {
        int status = send(router, service);
        statuses.computeIfAbsent(service, s -> new TreeMap<>()).merge(status, 1, Integer::sum);
      }
      Thread.sleep(INTERVAL_MILLIS);
    }
    record.println("answers by service and status, " + when + ": " + statuses);
    return statuses;
  }

  private static double served(List<Map<Integer, Integer>> statuses) {
    int served = 0;
    int all = 0;
    for (Map<Integer, Integer> s : statuses) {
      served += s.getOrDefault(200, 0);
      all += s.values().stream().mapToInt(n -> n).sum();
    }
    return (double) served / all;
  }

  private int send(Fleet.Node router, String service) {
    try (Socket socket = new Socket(router.callers().getAddress(), router.callers().getPort())) {
      socket.setSoTimeout(5_000);
      String request =
          "POST /%s/2f HTTP/1.1\r\nHost: ficu95.example\r\nConnection: close\r\n"
              + "Goldcrestfall-Request-Id: %016x\r\nGoldcrestfall-Deadline: 4001\r\n"
              + "Content-Length: 2\r\n\r\nhi";
      Http.write(socket.getOutputStream(), request.formatted(service, ids.incrementAndGet()));
      return Http.readReply(new BufferedInputStream(socket.getInputStream())).status();
    } catch (IOException e) {
      return 0;
    }
  }
}
