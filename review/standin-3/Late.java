import static java.nio.charset.StandardCharsets.ISO_8859_1;

import java.io.BufferedInputStream;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.PrintWriter;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * The workers of a service are stopped in turn and start again under their ids. With the disruption,
 * each of them is cut off from the control daemons while it says that it leaves, so that this call
 * arrives late.
 */
final class Late {

  private static final String KEPT_SERVICE = "huvo11a";
  private static final String RESTARTED_SERVICE = "wuno96b";
  private static final int KEPT_WORKERS = 6;
  private static final int RESTARTED_WORKERS = 3;
  private static final int PORT = 18_080;
  private static final int HEARTBEAT_MILLIS = 1_200;
  private static final int ACK_MILLIS = 1_000;
  private static final int CUT_MILLIS = 5_000;

  /** Time for which a leaving worker goes on: DrainMs and a little longer. */
  private static final int LEAVING_MILLIS = 3_000;

  private static final int RESTART_MILLIS = 500;
  private static final int NEXT_MILLIS = 10_000;
  private static final int LOAD_MILLIS = 15_000;
  private static final int INTERVAL_MILLIS = 50;

  /** A route is starved if it is served less than this share as often as all. */
  private static final double STARVED_SHARE = 0.25;

  /**
   * Bytes that a cut has held are sent again after a time that grows with how long they were held;
   * the next attempt comes after at most as long again.
   */
  private static final double RESEND_SHARE = 0.4;

  private static final String ROUTE =
      """
      {"Name":"r-%s","Host":"ficu95.example","PathPrefix":"/%s/","Kind":"unsafe",
      "TimeoutMs":4000,"TargetLatencyMs":300,"Priority":2,"Service":"%s","MaxAttempts":2,
      "Public":true,"Sticky":false,"Resumable":false}
      """;
  private static final String SERVICE =
      """
      {"Name":"%s","HealthPath":"/health","MaxConnections":257,"Protocol":"h1","Tls":false}
      """;
  private static final String CONFIGURATION =
      "{\"Version\":7,\"Routes\":[%s,%s],\"Services\":[%s,%s]}"
          .formatted(
              ROUTE.formatted(KEPT_SERVICE, KEPT_SERVICE, KEPT_SERVICE),
              ROUTE.formatted(RESTARTED_SERVICE, RESTARTED_SERVICE, RESTARTED_SERVICE),
              SERVICE.formatted(KEPT_SERVICE),
              SERVICE.formatted(RESTARTED_SERVICE));

  private final PrintWriter record;
  private final long startedAtMillis = System.currentTimeMillis();
  private final AtomicInteger ids = new AtomicInteger();
  private volatile boolean ended;

  private Late(PrintWriter record) {
    this.record = record;
  }

  public static void main(String[] args) throws Exception {
    Path root = Path.of(args[0]).toRealPath();
    boolean trouble = !"0".equals(System.getenv("TROUBLE"));
    int exit = 2;
    try (PrintWriter record = new PrintWriter(Files.newBufferedWriter(Path.of(args[1])), true)) {
      exit = new Late(record).run(root, trouble);
      record.println("exit " + exit);
    }
    System.exit(exit);
  }

  private void log(String format, Object... values) {
    long millis = System.currentTimeMillis() - startedAtMillis;
    record.printf("%6.1f s: %s%n", millis / 1_000.0, format.formatted(values));
  }

  /** The link from a worker to one control daemon, which holds bytes while it is cut. */
  private static final class Link {
    private final ServerSocket server = new ServerSocket();
    private final String control;
    private volatile long healsAtMillis;

    Link(String ip, String control) throws IOException {
      this.control = control;
      server.bind(new InetSocketAddress(ip, 0), 100);
      Threads.start(
          () -> {
            while (true) {
              Socket worker = server.accept();
              Threads.start(() -> forward(worker));
            }
          });
    }

    String address() {
      return server.getInetAddress().getHostAddress() + ":" + server.getLocalPort();
    }

    void cut(int millis) {
      healsAtMillis = System.currentTimeMillis() + millis;
    }

    /** Passes on one call, as the calls of these workers open a connection each. */
    private void forward(Socket worker) throws IOException, InterruptedException {
      try (worker) {
        InputStream in = worker.getInputStream();
        ByteArrayOutputStream request = new ByteArrayOutputStream();
        int length = -1;
        byte[] buffer = new byte[8_192];
        while (length < 0 || request.size() < length) {
          int n = in.read(buffer);
          if (n < 0) {
            return;
          }
          request.write(buffer, 0, n);
          length = lengthOf(request.toString(ISO_8859_1));
        }
        long heldMillis = healsAtMillis - System.currentTimeMillis();
        if (heldMillis > 0) {
          Thread.sleep((long) (heldMillis * (1 + RESEND_SHARE)));
        }
        int colon = control.lastIndexOf(':');
        int port = Integer.parseInt(control.substring(colon + 1));
        try (Socket daemon = new Socket(control.substring(0, colon), port)) {
          daemon.setSoTimeout(5_000);
          daemon.getOutputStream().write(request.toByteArray());
          worker.getOutputStream().write(daemon.getInputStream().readAllBytes());
        }
      }
    }

    /** Returns the length of a request with its head, or -1 if the head is not complete. */
    private static int lengthOf(String text) {
      int end = text.indexOf("\r\n\r\n");
      if (end < 0) {
        return -1;
      }
      String name = "Content-Length: ";
      int from = text.indexOf(name) + name.length();
      return end + 4 + Integer.parseInt(text.substring(from, text.indexOf("\r\n", from)));
    }
  }

  /** A worker of a plain service at one address, which keeps its id when it starts again. */
  private final class Worker {
    private final String service;
    private final String id;
    private final InetSocketAddress address;
    private final List<Link> links = new ArrayList<>();
    private final Set<Socket> open = ConcurrentHashMap.newKeySet();
    private final AtomicInteger signatures = new AtomicInteger();
    private ServerSocket server;
    private long born;
    private volatile int incarnation;

    Worker(Fleet fleet, String service, int number) throws IOException {
      this.service = service;
      id = "i-" + service + "-" + number;
      String ip = fleet.nextAddress();
      address = new InetSocketAddress(ip, PORT);
      for (Fleet.Node control : fleet.controls) {
        links.add(new Link(ip, control.operators()));
      }
      start();
    }

    void start() throws IOException {
      born = System.currentTimeMillis();
      final int current = ++incarnation;
      ServerSocket next = new ServerSocket();
      next.setReuseAddress(true);
      next.bind(address, 100);
      server = next;
      Threads.start(
          () -> {
            while (true) {
              Socket socket = next.accept();
              socket.setTcpNoDelay(true);
              open.add(socket);
              Threads.start(() -> serve(socket));
            }
          });
      Threads.start(() -> announce(current));
    }

    private void announce(int current) throws InterruptedException {
      String format =
          "{\"Service\":\"%s\",\"Address\":\"%s:%d\",\"Zone\":\"zone-0\",\"Version\":\"v1\","
              + "\"Slots\":6,\"State\":\"ready\",\"ColdRemainingMs\":0,\"Sequence\":%d,"
              + "\"born\":%d}";
      String ip = address.getAddress().getHostAddress();
      int daemon = 0;
      for (int sequence = 1; !ended && current == incarnation; sequence++) {
        String body = format.formatted(service, ip, PORT, sequence, born);
        if (call(daemon, "heartbeat", body)) {
          Thread.sleep(HEARTBEAT_MILLIS);
        } else {
          daemon++;
        }
      }
    }

    /** Calls a control daemon, and returns whether it acknowledged within a second. */
    private boolean call(int daemon, String call, String body) {
      String path = "/-/instances/" + id + "/" + call;
      Link link = links.get(daemon % links.size());
      return Fleet.call(link.address(), "POST", path, body).status() == 200;
    }

    /** Says that it leaves, serves for some time, exits, and starts again under its id. */
    void restart(boolean cut) throws Exception {
      incarnation++;
      if (cut) {
        links.forEach(l -> l.cut(CUT_MILLIS));
        log("%s is cut off from the control daemons for %s ms", id, CUT_MILLIS);
      }
      long exitAtMillis = System.currentTimeMillis() + LEAVING_MILLIS;
      String body = "{\"born\":%d}".formatted(born);
      boolean acknowledged = false;
      for (int i = 0; !acknowledged && System.currentTimeMillis() < exitAtMillis; i++) {
        acknowledged = call(i, "deregister", body);
      }
      log("%s, born %s, has said that it leaves; acknowledged: %s", id, born, acknowledged);
      Thread.sleep(Math.max(0, exitAtMillis - System.currentTimeMillis()));
      server.close();
      for (Socket s : open) {
        s.close();
      }
      open.clear();
      Thread.sleep(RESTART_MILLIS);
      start();
      log("%s, born %s, has started again", id, born);
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
              "Goldcrestfall-Request-Id: " + headers.get("goldcrestfall-request-id") + "\r\n";
          boolean meant = id.equals(headers.get("goldcrestfall-expect-instance"));
          String signature =
              "Goldcrestfall-Server-Signature: " + id + "." + signatures.incrementAndGet() + "\r\n";
          String answer =
              meant
                  ? "HTTP/1.1 200 OK\r\n" + head + signature + "Content-Length: 2\r\n\r\nok"
                  : "HTTP/1.1 421 Misdirected\r\n" + head + "Content-Length: 0\r\n\r\n";
          Http.write(socket.getOutputStream(), answer);
        }
      } finally {
        open.remove(socket);
      }
    }
  }

  private int run(Path root, boolean trouble) throws Exception {
    record.println("disruption: " + trouble);
    try (Fleet fleet = new Fleet(root, 3, 2)) {
      for (int i = 0; i < KEPT_WORKERS; i++) {
        new Worker(fleet, KEPT_SERVICE, i);
      }
      List<Worker> restarted = new ArrayList<>();
      for (int i = 0; i < RESTARTED_WORKERS; i++) {
        restarted.add(new Worker(fleet, RESTARTED_SERVICE, i));
      }
      if (!fleet.configure(CONFIGURATION) || !fleet.awaitReady()) {
        record.println("the fleet did not become ready");
        return 2;
      }
      Thread.sleep(5 * ACK_MILLIS);
      for (Worker w : restarted) {
        w.restart(trouble);
        Thread.sleep(NEXT_MILLIS);
      }
      log("the load begins; no worker was stopped or cut off for %s ms", NEXT_MILLIS / 2);
      Map<String, Map<Integer, Integer>> statuses = new TreeMap<>();
      long end = System.currentTimeMillis() + LOAD_MILLIS;
      for (int i = 0; System.currentTimeMillis() < end; i++) {
        Fleet.Node router = fleet.routers.get(i % fleet.routers.size());
        for (String service : List.of(KEPT_SERVICE, RESTARTED_SERVICE)) {
          int status = send(router, service);
          statuses.computeIfAbsent(service, s -> new TreeMap<>()).merge(status, 1, Integer::sum);
        }
        Thread.sleep(INTERVAL_MILLIS);
      }
      ended = true;
      log("answers by service and status: %s", statuses);
      double kind = served(List.of(statuses.get(RESTARTED_SERVICE)));
      double all = served(List.copyOf(statuses.values()));
      log("served of the route to %s: %.3f, of all: %.3f", RESTARTED_SERVICE, kind, all);
      return kind < STARVED_SHARE * all ? 1 : 0;
    }
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
