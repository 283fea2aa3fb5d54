import static java.nio.charset.StandardCharsets.ISO_8859_1;

import java.io.BufferedInputStream;
import java.io.EOFException;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * A sound model worker: streams the stated maximum of output tokens in events of {@link #STRIDE}
 * tokens, and rejects a request that is larger than its memory as if it were full.
 */
final class Engine implements AutoCloseable {

  static final int STRIDE = 5;
  static final long MEMORY_TOKENS = 584_028;
  private static final int HEARTBEAT_MILLIS = 1_200;

  private final String id;
  private final String service;
  private final List<String> controls;
  private final ServerSocket server = new ServerSocket();
  private final long born = System.currentTimeMillis();
  final AtomicInteger runs = new AtomicInteger();
  private final AtomicInteger sequence = new AtomicInteger();
  private final AtomicInteger signatures = new AtomicInteger();

  Engine(String ip, String id, String service, List<String> controls) throws IOException {
    this.id = id;
    this.service = service;
    this.controls = controls;
    server.bind(new InetSocketAddress(ip, 0), 200);
    Threads.start(this::accept);
    Threads.start(this::announce);
  }

  private void accept() throws IOException {
    while (true) {
      Socket socket = server.accept();
      socket.setTcpNoDelay(true);
      Threads.start(() -> serve(socket));
    }
  }

  private void announce() throws InterruptedException {
    String format =
        "{\"Service\":\"%s\",\"Address\":\"%s:%d\",\"Zone\":\"zone-0\",\"Version\":\"v1\","
            + "\"Slots\":64,\"State\":\"ready\",\"ColdRemainingMs\":0,\"Sequence\":%d,\"born\":%d}";
    String ip = server.getInetAddress().getHostAddress();
    for (int i = 0; !server.isClosed(); i++) {
      String body =
          format.formatted(
              service, ip, server.getLocalPort(), sequence.incrementAndGet(), born);
      String path = "/-/instances/" + id + "/heartbeat";
      int status = Fleet.call(controls.get(i % controls.size()), "POST", path, body).status();
      Thread.sleep(status == 200 ? HEARTBEAT_MILLIS : 100);
    }
  }

  private void serve(Socket socket) throws IOException, InterruptedException {
    try (socket) {
      InputStream in = new BufferedInputStream(socket.getInputStream());
      while (true) {
        Http.readLine(in);
        Map<String, String> headers = Http.readHeaders(in);
        in.readNBytes(Integer.parseInt(headers.getOrDefault("content-length", "0")));
        answer(socket.getOutputStream(), headers);
      }
    }
  }

  private void answer(OutputStream out, Map<String, String> headers)
      throws IOException, InterruptedException {
    String head = "Goldcrestfall-Request-Id: " + headers.get("goldcrestfall-request-id") + "\r\n";
    if (!id.equals(headers.get("goldcrestfall-expect-instance"))) {
      Http.write(out, "HTTP/1.1 421 Misdirected\r\n" + head + "Content-Length: 0\r\n\r\n");
      return;
    }
    String[] counts = headers.get("goldcrestfall-token-count").split(",");
    long prompt = Long.parseLong(counts[0].trim());
    long most = Long.parseLong(counts[1].trim());
    if (most > MEMORY_TOKENS - prompt) {
      String notRun = head + "Goldcrestfall-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n";
      Http.write(out, "HTTP/1.1 503 Full\r\n" + notRun);
      return;
    }
    runs.incrementAndGet();
    String signature =
        "Goldcrestfall-Server-Signature: " + id + "." + signatures.incrementAndGet() + "\r\n";
    String type = "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n";
    Http.write(out, "HTTP/1.1 200 OK\r\n" + head + signature + type);
    for (int i = 1; i <= most / STRIDE; i++) {
      String event = "id: " + i + "\ndata: tokens\n\n";
      Http.write(out, Integer.toHexString(event.length()) + "\r\n" + event + "\r\n");
      Thread.sleep(1);
    }
    Http.write(out, "0\r\n\r\n");
  }

  @Override
  public void close() throws IOException {
    server.close();
  }
}

/** Reads and writes HTTP/1.1 messages. */
final class Http {

  /** An answer as its client got it; {@code complete} is whether its end was received. */
  record Reply(int status, Map<String, String> headers, String body, boolean complete) {}

  private Http() {}

  static String readLine(InputStream in) throws IOException {
    StringBuilder line = new StringBuilder();
    for (int b = in.read(); b != '\n'; b = in.read()) {
      if (b < 0) {
        throw new EOFException("closed");
      }
      if (b != '\r') {
        line.append((char) b);
      }
    }
    return line.toString();
  }

  static Map<String, String> readHeaders(InputStream in) throws IOException {
    Map<String, String> headers = new HashMap<>();
    for (String line = readLine(in); !line.isEmpty(); line = readLine(in)) {
      int colon = line.indexOf(':');
      headers.put(line.substring(0, colon).toLowerCase(), line.substring(colon + 1).trim());
    }
    return headers;
  }

  /** Reads an answer whose end is stated by its length or its last chunk. */
  static Reply readReply(InputStream in) throws IOException {
    int status = Integer.parseInt(readLine(in).substring(9, 12));
    Map<String, String> headers = readHeaders(in);
    StringBuilder body = new StringBuilder();
    boolean complete = false;
    try {
      if ("chunked".equals(headers.get("transfer-encoding"))) {
        for (int n = -1; n != 0; ) {
          n = Integer.parseInt(readLine(in), 16);
          body.append(new String(in.readNBytes(n), ISO_8859_1));
          readLine(in);
        }
        complete = true;
      } else {
        int length = Integer.parseInt(headers.getOrDefault("content-length", "0"));
        body.append(new String(in.readNBytes(length), ISO_8859_1));
        complete = body.length() == length;
      }
    } catch (IOException e) {
      complete = false;
    }
    return new Reply(status, headers, body.toString(), complete);
  }

  static void write(OutputStream out, String text) throws IOException {
    out.write(text.getBytes(ISO_8859_1));
    out.flush();
  }
}

/** Daemon threads that end with their connection. */
final class Threads {

  /** A task that may fail with its connection. */
  interface Task {
    void run() throws Exception;
  }

  private Threads() {}

  static Thread start(Task task) {
    Runnable body =
        () -> {
          try {
            task.run();
          } catch (IOException | InterruptedException e) {
            // The other side has closed the connection, or the script has ended.
          } catch (Exception e) {
            e.printStackTrace();
          }
        };
    Thread thread = new Thread(body);
    thread.setDaemon(true);
    thread.start();
    return thread;
  }
}
