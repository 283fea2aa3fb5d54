import java.io.ByteArrayInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.io.SequenceInputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * A client stops reading a long answer for some seconds, and another client places an order. Then
 * their router gets SIGTERM. Both requests must be answered in full within the grace period.
 *
 * <p>What matters is that the end of the long answer finds the buffers of the kernel full, so that
 * the router has to keep it. How much these take differs between machines, so longer and longer
 * answers are tried.
 */
public final class SlowReader {

  private static final int MIN_BODY_BYTES = 400_000;
  private static final int MAX_BODY_BYTES = 12_000_000;
  private static final int BODY_STEP_BYTES = 24_000;
  private static final int RECEIVE_BUFFER_BYTES = 65_536;
  private static final int HEAD_BYTES = 1_000;
  private static final int TIMEOUT_MILLIS = 15_000;

  /** An order takes the worker a few milliseconds. */
  private static final long ORDER_WAIT_MILLIS = 1_000;

  /** How long the slow client still doesn't read after the SIGTERM. */
  private static final long PAUSE_MILLIS = 3_500;

  private final Fleet fleet;
  private final Recorder record;
  private final Set<String> answered = ConcurrentHashMap.newKeySet();
  private final AtomicInteger broken = new AtomicInteger();
  private volatile long termAt = -1;
  private Fleet.Node router;

  private SlowReader(Fleet fleet, Recorder record) {
    this.fleet = fleet;
    this.record = record;
  }

  public static void main(String[] args) throws Exception {
    boolean trouble = !"0".equals(System.getenv("TROUBLE"));
    int exit;
    try (Recorder record = new Recorder(Path.of(args[1]));
        Fleet fleet = new Fleet(Path.of(args[0]), record)) {
      exit = new SlowReader(fleet, record).run(trouble);
    }
    System.exit(exit);
  }

  /** A request whose answer is read later. */
  private final class Pending {
    final String id;
    final Socket socket = new Socket();
    final long sentAt;
    byte[] begun = new byte[0];

    Pending(String id, String path) throws IOException {
      this.id = id;
      socket.setReceiveBufferSize(RECEIVE_BUFFER_BYTES);
      socket.connect(
          new InetSocketAddress(InetAddress.getByName(router.ip), fleet.frontPort), 1_000);
      sentAt = record.millis();
      String head =
          "POST " + path + " HTTP/1.1\r\nHost: h.example\r\nGoldcrestfall-Request-Id: " + id
              + "\r\nGoldcrestfall-Deadline: " + TIMEOUT_MILLIS
              + "\r\nContent-Length: 2\r\n\r\nhi";
      socket.getOutputStream().write(head.getBytes(StandardCharsets.ISO_8859_1));
      record.log("client: %s is sent to %s", id, router.name);
    }

    /** Reads the begin of the answer; returns whether it came in time. */
    boolean begins(long waitMillis) throws IOException {
      socket.setSoTimeout((int) waitMillis);
      byte[] buffer = new byte[HEAD_BYTES];
      try {
        int n = socket.getInputStream().read(buffer);
        begun = java.util.Arrays.copyOf(buffer, Math.max(0, n));
        record.log("client: the answer to %s begins", id);
        return n > 0;
      } catch (java.net.SocketTimeoutException e) {
        return false;
      }
    }

    void close() throws IOException {
      socket.close();
    }

    /** Reads the rest of the answer, and applies the rule LOST if it isn't complete. */
    void finish(long bodyBytes) {
      String end;
      boolean whole = false;
      try {
        socket.setSoTimeout(TIMEOUT_MILLIS);
        InputStream in =
            new SequenceInputStream(new ByteArrayInputStream(begun), socket.getInputStream());
        Http.Message m = Http.readResponse(in);
        whole = m.complete();
        end = m.status() + ", " + m.body().length + (whole ? " bytes, whole" : " bytes, then cut");
      } catch (IOException e) {
        end = "no answer: " + e.getMessage();
      }
      long now = record.millis();
      boolean counts =
          !whole
              && answered.contains(id)
              && termAt >= 0
              && now <= termAt + (fleet.graceSeconds + 1) * 1_000L
              && now < sentAt + TIMEOUT_MILLIS;
      if (counts) {
        broken.incrementAndGet();
      }
      record.log(
          "%sclient: %s, whose answer of %d bytes a worker %s: %s; %.1f s after it was sent%s",
          counts ? "RULE BROKEN: LOST, " : "",
          id,
          bodyBytes,
          answered.contains(id) ? "has given" : "has not given",
          end,
          (now - sentAt) / 1000.0,
          termAt < 0 ? "" : String.format(", %.1f s after the SIGTERM", (now - termAt) / 1000.0));
    }
  }

  private int run(boolean trouble) throws Exception {
    for (int i = 1; i <= 3; i++) {
      fleet.add("core-" + i, "zone-a", "control");
    }
    for (int i = 1; i <= 3; i++) {
      fleet.add("front-" + i, "zone-a", "router");
    }
    router = fleet.routers().get(0);
    for (Fleet.Node n : fleet.nodes) {
      n.start(true);
    }
    new Worker("i-1", "files", "zone-a", fleet.nextAddress(), fleet, this::answer);
    String common =
        ",\"Kind\":\"unsafe\",\"TimeoutMs\":" + TIMEOUT_MILLIS + ",\"TargetLatencyMs\":500,"
            + "\"Priority\":0,\"Service\":\"files\",\"MaxAttempts\":1}";
    String document =
        "{\"Version\":1,\"Routes\":[{\"Name\":\"r\",\"Host\":\"h.example\",\"PathPrefix\":\"/a/\""
            + common + ",{\"Name\":\"s\",\"Host\":\"h.example\",\"PathPrefix\":\"/b/\"" + common
            + "],\"Services\":[{\"Name\":\"files\",\"HealthPath\":\"/health\","
            + "\"MaxConnections\":214}],\"Limits\":{\"HeaderTimeoutMs\":3000,"
            + "\"IdleTimeoutMs\":15000}}";
    if (!fleet.configure(document, 30_000) || !fleet.awaitReady(router, 15_000)) {
      return 2;
    }
    Thread.sleep(3_000);
    for (int size = MIN_BODY_BYTES; size <= MAX_BODY_BYTES; size += BODY_STEP_BYTES) {
      Pending slow = new Pending("slow-" + size, "/a/" + size);
      if (!slow.begins(ORDER_WAIT_MILLIS)) {
        return 2;
      }
      Thread.sleep(40);
      Pending order = new Pending("order-" + size, "/b/800");
      if (!order.begins(ORDER_WAIT_MILLIS) && answered.contains(order.id)) {
        record.log("client: no answer to %s yet, which the worker has answered", order.id);
        return stop(slow, order, size, trouble);
      }
      slow.close();
      order.close();
    }
    record.log("no order was held up");
    return 0;
  }

  private int stop(Pending slow, Pending order, int size, boolean trouble) throws Exception {
    if (trouble) {
      termAt = record.millis();
      router.signal("TERM");
    }
    Thread waiting = new Thread(() -> order.finish(800));
    waiting.start();
    Thread.sleep(PAUSE_MILLIS);
    slow.finish(size);
    waiting.join();
    if (trouble) {
      router.awaitExit(9_000);
    }
    return broken.get() > 0 ? 1 : 0;
  }

  private void answer(Worker worker, Http.Message request, OutputStream out) throws IOException {
    String path = request.path();
    int size = Integer.parseInt(path.substring(path.lastIndexOf('/') + 1));
    worker.reply(request, out, "x".repeat(size));
    answered.add(request.header("Goldcrestfall-Request-Id"));
  }
}
