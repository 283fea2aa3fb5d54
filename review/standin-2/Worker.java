import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Map;
import java.util.concurrent.Semaphore;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * A sound model worker: announces itself, runs as many requests at once as it has slots, queues a
 * few more, and answers each with a stream of events. The first event follows after the prompt was
 * read. Rejects what it has no room for with 503 and Goldcrestfall-Not-Executed.
 */
public final class Worker {

  private static final int SLOTS = 64;
  private static final int QUEUE = 192;
  private static final long EVENT_MILLIS = 20;
  private static final long BORN = System.currentTimeMillis();

  private static String id;
  private static String service;
  private static String zone;
  private static String address;
  private static long promptMillis;
  private static int events;
  private static volatile String state = "ready";
  private static final Semaphore slots = new Semaphore(SLOTS, true);
  private static final AtomicInteger present = new AtomicInteger();

  private Worker() {}

  /** Arguments: id, service, IP address, zone, control addresses, ms for a prompt, events. */
  public static void main(String[] args) throws IOException {
    id = args[0];
    service = args[1];
    zone = args[3];
    promptMillis = Long.parseLong(args[5]);
    events = Integer.parseInt(args[6]);
    ServerSocket server = new ServerSocket(0, 1_000, InetAddress.getByName(args[2]));
    address = args[2] + ":" + server.getLocalPort();
    log("born " + BORN);
    daemon(() -> announceRegularly(List.of(args[4].split(","))));
    daemon(Worker::awaitDrain);
    while (true) {
      Socket s = server.accept();
      daemon(() -> serve(s));
    }
  }

  private static void daemon(Runnable task) {
    Thread t = new Thread(task);
    t.setDaemon(true);
    t.start();
  }

  /** Reports that this worker is draining once a line arrives on standard input. */
  private static void awaitDrain() {
    try {
      if (System.in.read() >= 0) {
        state = "draining";
      }
    } catch (IOException e) {
      log("no input: " + e);
    }
  }

  private static synchronized void log(String line) {
    System.out.println(System.currentTimeMillis() + " " + line);
  }

  private static void announceRegularly(List<String> controls) {
    for (long sequence = 1; ; sequence++) {
      String body =
          ("{\"Service\":\"%s\",\"Address\":\"%s\",\"Zone\":\"%s\",\"Version\":\"v1\",\"Slots\":%d,"
                  + "\"State\":\"%s\",\"ColdRemainingMs\":0,\"Sequence\":%d,\"born\":%d}")
              .formatted(service, address, zone, SLOTS, state, sequence, BORN);
      boolean draining = body.contains("draining");
      for (int i = 0; i < controls.size(); i++) {
        if (announce(controls.get((int) ((sequence + i) % controls.size())), body)) {
          if (draining) {
            log("draining is acknowledged, sequence " + sequence);
          }
          break;
        }
      }
      sleep(1_200);
    }
  }

  private static boolean announce(String control, String body) {
    int colon = control.indexOf(':');
    try (Socket s = new Socket()) {
      s.connect(
          new java.net.InetSocketAddress(
              control.substring(0, colon), Integer.parseInt(control.substring(colon + 1))),
          500);
      s.setSoTimeout(1_000);
      String request =
          "POST /-/instances/%s/heartbeat HTTP/1.1\r\nHost: control\r\nConnection: close\r\n"
                  .formatted(id)
              + "Content-Type: application/json\r\nContent-Length: %d\r\n\r\n%s"
                  .formatted(body.length(), body);
      s.getOutputStream().write(request.getBytes(StandardCharsets.ISO_8859_1));
      byte[] head = s.getInputStream().readNBytes(12);
      return new String(head, StandardCharsets.ISO_8859_1).endsWith(" 200");
    } catch (IOException e) {
      return false;
    }
  }

  private static void serve(Socket socket) {
    try (socket) {
      socket.setTcpNoDelay(true);
      InputStream in = new BufferedInputStream(socket.getInputStream());
      while (true) {
        Http.Message request = Http.read(in);
        if (request == null || !answer(request, socket.getOutputStream())) {
          return;
        }
      }
    } catch (IOException e) {
      // The router has closed its connection; the request on it is dropped.
    }
  }

  private static boolean answer(Http.Message request, OutputStream out) throws IOException {
    Map<String, String> headers = request.headers();
    String requestId = headers.getOrDefault("goldcrestfall-request-id", "");
    String common = "Goldcrestfall-Request-Id: " + requestId + "\r\n";
    if (!id.equals(headers.getOrDefault("goldcrestfall-expect-instance", id))) {
      Http.write(out, "HTTP/1.1 421 Misdirected\r\n" + common + "Content-Length: 0\r\n\r\n");
      return true;
    }
    log("arrives " + requestId);
    if (present.incrementAndGet() > SLOTS + QUEUE) {
      present.decrementAndGet();
      Http.write(
          out,
          "HTTP/1.1 503 Full\r\n" + common + "Goldcrestfall-Not-Executed: full\r\nContent-Length: 0"
              + "\r\n\r\n");
      return true;
    }
    try {
      slots.acquireUninterruptibly();
      try {
        sleep(promptMillis);
        log(
            "runs " + requestId + " of tenant " + headers.get("goldcrestfall-tenant")
                + " with authorization " + headers.get("authorization"));
        Http.write(
            out,
            "HTTP/1.1 200 OK\r\n" + common + "Goldcrestfall-Server-Signature: s." + requestId
                + "\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n");
        for (int i = 1; i <= events; i++) {
          Http.chunk(out, "id: " + i + "\ndata: " + requestId + " " + i + "\n\n");
          sleep(EVENT_MILLIS);
        }
        Http.write(out, "0\r\n\r\n");
      } finally {
        slots.release();
      }
    } finally {
      present.decrementAndGet();
    }
    return true;
  }

  static void sleep(long millis) {
    try {
      Thread.sleep(millis);
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }
}
