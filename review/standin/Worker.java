import java.io.IOException;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.function.Supplier;

/** A sound worker: announces itself, and answers requests as its behaviour says. */
final class Worker implements AutoCloseable {

  /** Answers one request; the head with the id and signature is given. */
  interface Behaviour {
    void answer(Worker worker, Http.Message request, OutputStream out)
        throws IOException, InterruptedException;
  }

  final String id;
  final String service;
  final String zone;
  final String ip;
  final int port;
  final Recorder record;
  final long born = System.currentTimeMillis();
  volatile String state = "ready";
  volatile boolean announces = true;
  volatile int slots = 8;
  private final Behaviour behaviour;
  private final Supplier<List<Fleet.Node>> controls;
  private final int controlPort;
  private final ServerSocket server;
  private long sequence;
  private volatile boolean closed;

  Worker(
      String id, String service, String zone, String ip, Fleet fleet, Behaviour behaviour)
      throws IOException {
    this.id = id;
    this.service = service;
    this.zone = zone;
    this.ip = ip;
    this.behaviour = behaviour;
    record = fleet.record;
    controls = fleet::controls;
    controlPort = fleet.controlPort;
    server = new ServerSocket(0, 200, InetAddress.getByName(ip));
    port = server.getLocalPort();
    start(this::accept);
    start(this::announceRegularly);
  }

  private static void start(Runnable task) {
    Thread thread = new Thread(task);
    thread.setDaemon(true);
    thread.start();
  }

  synchronized String heartbeat() {
    return "{\"Service\":\"" + service + "\",\"Address\":\"" + ip + ":" + port + "\",\"Zone\":\""
        + zone + "\",\"Version\":\"v1\",\"Slots\":" + slots + ",\"State\":\"" + state
        + "\",\"ColdRemainingMs\":0,\"Sequence\":" + ++sequence + ",\"born\":" + born + "}";
  }

  private void announceRegularly() {
    while (!closed) {
      if (announces) {
        announce();
      }
      sleep(1_200);
    }
  }

  /** Sends a heartbeat to one control daemon after another until one acknowledges it. */
  boolean announce() {
    String body = heartbeat();
    List<Fleet.Node> all = controls.get();
    int first = (int) (Math.random() * all.size());
    for (int i = 0; i < all.size(); i++) {
      Fleet.Node n = all.get((first + i) % all.size());
      try {
        if (Http.call(n.ip, controlPort, "POST", "/-/instances/" + id + "/heartbeat", body, 1_000)
                .status()
            == 200) {
          return true;
        }
      } catch (IOException e) {
        // The next daemon is tried.
      }
    }
    return false;
  }

  private void accept() {
    while (!closed) {
      try {
        Socket s = server.accept();
        s.setTcpNoDelay(true);
        start(() -> serve(s));
      } catch (IOException e) {
        return;
      }
    }
  }

  private void serve(Socket s) {
    try (s) {
      for (Http.Message m; (m = Http.readRequest(s.getInputStream())) != null; ) {
        OutputStream out = s.getOutputStream();
        String requestId = m.header("Goldcrestfall-Request-Id");
        String expected = m.header("Goldcrestfall-Expect-Instance");
        if (m.path().equals("/health")) {
          write(out, "HTTP/1.1 200 OK\r\nGoldcrestfall-Instance-Id: " + id
              + "\r\nContent-Length: 0\r\n\r\n");
        } else if (expected != null && !expected.equals(id)) {
          write(out, "HTTP/1.1 421 Misdirected Request\r\nGoldcrestfall-Request-Id: " + requestId
              + "\r\nContent-Length: 0\r\n\r\n");
        } else {
          record.log("worker %s: runs %s %s", id, requestId, m.start());
          behaviour.answer(this, m, out);
        }
      }
    } catch (IOException | RuntimeException e) {
      // The router has closed the connection.
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }

  /** Writes a complete answer with the worker's signature. */
  void reply(Http.Message request, OutputStream out, String text) throws IOException {
    String requestId = request.header("Goldcrestfall-Request-Id");
    write(out, "HTTP/1.1 200 OK\r\nGoldcrestfall-Request-Id: " + requestId
        + "\r\nGoldcrestfall-Server-Signature: " + id + "." + requestId
        + "\r\nContent-Length: " + text.length() + "\r\n\r\n" + text);
    record.log("worker %s: has answered %s", id, requestId);
  }

  static void write(OutputStream out, String text) throws IOException {
    out.write(text.getBytes(StandardCharsets.ISO_8859_1));
    out.flush();
  }

  static void sleep(long millis) {
    try {
      Thread.sleep(millis);
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }

  @Override
  public void close() throws IOException {
    closed = true;
    server.close();
  }
}
