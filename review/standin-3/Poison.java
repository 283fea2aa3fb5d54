import static java.nio.charset.StandardCharsets.ISO_8859_1;

import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
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
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * Workers that crash when they have written the first event of an answer to a prompt with a certain
 * part. Sound requests with the same key and first part come all the time.
 */
final class Poison {

  private static final String KEY = "n2ctnfzs989anu6wsjnb";
  private static final String POISON = "deadbeef";
  private static final int ROUTERS = 3;
  private static final int WORKERS = 6;
  private static final int EVENTS = 20;
  private static final int EVENT_MILLIS = 10;
  private static final int BACK_MILLIS = 3_000;
  private static final int CONTACT_MILLIS = 3_000;
  private static final int SOUND_INTERVAL_MILLIS = 100;
  private static final int POISON_INTERVAL_MILLIS = 300;
  private static final int CALM_MILLIS = 10_000;
  private static final int POISON_MILLIS = 40_000;
  private static final int CRASHES_KNOWN = 5;
  private static final int MIN_SAMPLES = 20;

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
      "IdleTimeoutMs":15000},"Tenants":[{"Name":"hule930","ApiKeys":["%s"],"Priority":1}]}
      """
          .formatted(KEY);

  /** A sound request: when it was sent, and whether its stream began. */
  private record Sound(long sentAtMillis, boolean begun) {}

  private final PrintWriter record;
  private final boolean trouble;
  private final AtomicInteger ids = new AtomicInteger();
  private final AtomicInteger incarnations = new AtomicInteger();
  private final List<Long> crashes = new CopyOnWriteArrayList<>();
  private final List<Long> poisonAtWorkers = new CopyOnWriteArrayList<>();
  private final Map<String, Long> poisonSent = new ConcurrentHashMap<>();
  private final List<Sound> sound = new CopyOnWriteArrayList<>();
  private volatile boolean ended;

  private Poison(PrintWriter record, boolean trouble) {
    this.record = record;
    this.trouble = trouble;
  }

  public static void main(String[] args) throws Exception {
    Path root = Path.of(args[0]).toRealPath();
    boolean trouble = !"0".equals(System.getenv("TROUBLE"));
    int exit = 2;
    try (PrintWriter record = new PrintWriter(Files.newBufferedWriter(Path.of(args[1])), true)) {
      try {
        exit = new Poison(record, trouble).run(root);
      } catch (Exception e) {
        // An exit with 1 would say that the rule was broken.
        record.println("the case could not run: " + e);
      }
      record.println("exit " + exit);
    }
    System.exit(exit);
  }

  /** A worker at one address, which is a new incarnation after each crash. */
  private final class Worker {
    private final InetSocketAddress address;
    private final List<String> controls;
    private final Set<Socket> open = ConcurrentHashMap.newKeySet();
    private ServerSocket server;
    private String id;
    private long born;
    private int sequence;

    Worker(String ip, int port, List<String> controls) throws IOException {
      address = new InetSocketAddress(ip, port);
      this.controls = controls;
      startIncarnation();
      Threads.start(this::announce);
    }

    private synchronized void startIncarnation() throws IOException {
      id = "i-" + incarnations.incrementAndGet();
      born = System.currentTimeMillis();
      sequence = 0;
      ServerSocket next = new ServerSocket();
      next.setReuseAddress(true);
      next.bind(address, 200);
      server = next;
      Threads.start(() -> accept(next));
    }

    private void accept(ServerSocket incarnation) throws IOException {
      while (true) {
        Socket socket = incarnation.accept();
        socket.setTcpNoDelay(true);
        open.add(socket);
        Threads.start(() -> serve(socket));
      }
    }

    private synchronized String heartbeat() {
      return server == null
          ? ""
          : """
            {"Service":"huvo11a","Address":"%s:%d","Zone":"zone-0","Version":"v1","Slots":64,
            "State":"ready","ColdRemainingMs":0,"Sequence":%d,"born":%d}
            """
              .formatted(
                  address.getAddress().getHostAddress(), address.getPort(), ++sequence, born);
    }

    private void announce() throws InterruptedException {
      for (int i = 0; !ended; i++) {
        String body = heartbeat();
        String path = "/-/instances/" + id + "/heartbeat";
        if (!body.isEmpty()) {
          Fleet.call(controls.get(i % controls.size()), "POST", path, body);
        }
        Thread.sleep(500);
      }
    }

    private void crash() throws Exception {
      synchronized (this) {
        if (server == null) {
          return;
        }
        server.close();
        server = null;
      }
      crashes.add(System.currentTimeMillis());
      for (Socket s : open) {
        s.setSoLinger(true, 0);
        s.close();
      }
      open.clear();
      Thread.sleep(BACK_MILLIS);
      startIncarnation();
    }

    private void serve(Socket socket) throws Exception {
      try (socket) {
        InputStream in = new BufferedInputStream(socket.getInputStream());
        while (true) {
          Http.readLine(in);
          Map<String, String> headers = Http.readHeaders(in);
          in.readNBytes(Integer.parseInt(headers.getOrDefault("content-length", "0")));
          answer(socket.getOutputStream(), headers);
        }
      } finally {
        open.remove(socket);
      }
    }

    private void answer(OutputStream out, Map<String, String> headers) throws Exception {
      String requestId = headers.get("goldcrestfall-request-id");
      String head = "Goldcrestfall-Request-Id: " + requestId + "\r\n";
      if (!id.equals(headers.get("goldcrestfall-expect-instance"))) {
        Http.write(out, "HTTP/1.1 421 Misdirected\r\n" + head + "Content-Length: 0\r\n\r\n");
        return;
      }
      boolean poison = headers.get("goldcrestfall-prompt-prefix").contains(POISON);
      if (poison) {
        poisonAtWorkers.add(poisonSent.get(requestId));
      }
      String signature = "Goldcrestfall-Server-Signature: " + id + "." + requestId + "\r\n";
      String type = "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n";
      Http.write(out, "HTTP/1.1 200 OK\r\n" + head + signature + type);
      for (int i = 1; i <= EVENTS; i++) {
        String event = "id: " + i + "\ndata: tokens\n\n";
        Http.write(out, Integer.toHexString(event.length()) + "\r\n" + event + "\r\n");
        Thread.sleep(EVENT_MILLIS);
        if (poison && trouble) {
          crash();
          return;
        }
      }
      Http.write(out, "0\r\n\r\n");
    }
  }

  private int run(Path root) throws Exception {
    record.println("disruption: " + trouble);
    try (Fleet fleet = new Fleet(root, 3, ROUTERS)) {
      List<String> controls = fleet.controls.stream().map(Fleet.Node::operators).toList();
      List<Worker> workers = new ArrayList<>();
      for (int i = 0; i < WORKERS; i++) {
        workers.add(new Worker(fleet.nextAddress(), 18_080, controls));
      }
      if (!fleet.configure(CONFIGURATION) || !fleet.awaitReady()) {
        record.println("the fleet did not become ready");
        return 2;
      }
      Thread.sleep(2 * CONTACT_MILLIS);
      final long startMillis = System.currentTimeMillis();
      Threads.start(
          () -> {
            for (int i = 0; !ended; i++) {
              Fleet.Node router = fleet.routers.get(i % ROUTERS);
              Threads.start(() -> sendSound(router));
              Thread.sleep(SOUND_INTERVAL_MILLIS);
            }
          });
      Thread.sleep(CALM_MILLIS);
      final long poisonFromMillis = System.currentTimeMillis();
      while (System.currentTimeMillis() < poisonFromMillis + POISON_MILLIS) {
        Fleet.Node router = fleet.routers.get(ids.get() % ROUTERS);
        Threads.start(() -> sendPoison(router));
        Thread.sleep(POISON_INTERVAL_MILLIS);
      }
      long poisonEndMillis = System.currentTimeMillis();
      ended = true;
      Thread.sleep(1_000);
      return judge(startMillis, poisonFromMillis, poisonEndMillis);
    }
  }

  private int judge(long startMillis, long poisonFromMillis, long poisonEndMillis) {
    long known =
        crashes.isEmpty()
            ? poisonFromMillis
            : crashes.get(Math.min(CRASHES_KNOWN, crashes.size()) - 1);
    long from = known + 2 * CONTACT_MILLIS;
    double before = shareBegun("before the crashes", startMillis, poisonFromMillis - 1_000);
    double after = shareBegun("after the fifth crash", from, poisonEndMillis - 1_000);
    long late = poisonAtWorkers.stream().filter(t -> t > known + CONTACT_MILLIS).count();
    record.println("crashes: " + crashes.size());
    record.println("requests with the part sent: " + poisonSent.size());
    record.println(
        "of them at workers, sent later than ContactMs after the fifth crash: " + late);
    if (before < 0 || after < 0) {
      return 2;
    }
    return after < before / 2 ? 1 : 0;
  }

  /** Returns the share of sound requests whose stream began; -1 if there were too few. */
  private double shareBegun(String when, long fromMillis, long toMillis) {
    List<Sound> sent =
        sound.stream()
            .filter(s -> s.sentAtMillis >= fromMillis && s.sentAtMillis < toMillis)
            .toList();
    long begun = sent.stream().filter(Sound::begun).count();
    record.println("sound requests " + when + ": " + begun + " of " + sent.size() + " begun");
    return sent.size() < MIN_SAMPLES ? -1 : (double) begun / sent.size();
  }

  private void sendSound(Fleet.Node router) {
    int number = ids.incrementAndGet();
    long now = System.currentTimeMillis();
    boolean begun = send(router, number, "5c1e07a2:100,%x:50".formatted(number % 7 + 1));
    sound.add(new Sound(now, begun));
  }

  private void sendPoison(Fleet.Node router) {
    int number = ids.incrementAndGet();
    poisonSent.put("%016x".formatted(number), System.currentTimeMillis());
    send(router, number, "5c1e07a2:100," + POISON + ":50");
  }

  /** Sends a request and returns whether at least one event of its answer arrived. */
  private static boolean send(Fleet.Node router, int number, String sharedParts) {
    try (Socket socket = new Socket(router.callers().getAddress(), router.callers().getPort())) {
      socket.setSoTimeout(15_000);
      String request =
          "POST /lohu930/2f HTTP/1.1\r\nHost: ficu95.example\r\nConnection: close\r\n"
              + "Goldcrestfall-Request-Id: %016x\r\nGoldcrestfall-Model: m\r\n"
              + "Goldcrestfall-Token-Count: 160,100\r\n"
              + "Goldcrestfall-Prompt-Prefix: %s,f%x:10\r\n"
              + "Goldcrestfall-Deadline: 15004\r\nAuthorization: Token %s\r\n"
              + "Content-Length: 2\r\n\r\nhi";
      String text = request.formatted(number, sharedParts, number, KEY);
      socket.getOutputStream().write(text.getBytes(ISO_8859_1));
      Http.Reply reply = Http.readReply(new BufferedInputStream(socket.getInputStream()));
      return reply.status() == 200 && reply.body().contains("id: 1\n");
    } catch (IOException e) {
      return false;
    }
  }
}
