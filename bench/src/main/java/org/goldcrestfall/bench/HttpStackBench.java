package org.goldcrestfall.bench;

import com.beust.jcommander.Parameter;
import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStream;
import java.io.InputStreamReader;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.Future;

/**
 * Measures the processor time that a server process needs to stream a response, first with Pekko
 * HTTP and then with Netty's codec. The server runs with JVM flags for a small machine.
 */
public final class HttpStackBench {

  private static final byte[] REQUEST =
      "GET / HTTP/1.1\r\nHost: bench\r\n\r\n".getBytes(StandardCharsets.US_ASCII);

  /** The chunk of length 0 with which both stacks end a chunked response. */
  private static final byte[] LAST_CHUNK = "0\r\n\r\n".getBytes(StandardCharsets.US_ASCII);

  @Parameter(names = "--requests", description = "Requests in each round")
  private int requestsPerRound = 20_000;

  @Parameter(names = "--events", description = "Chunks in each response")
  private int chunks = 50;

  @Parameter(names = "--pause-millis", description = "Pause between the chunks of a response")
  private int pauseMillis = 0;

  @Parameter(names = "--connections", description = "Persistent connections")
  private int connections = 16;

  @Parameter(names = "--rounds", description = "Measured rounds for each stack")
  private int rounds = 3;

  private HttpStackBench() {}

  /** Runs the benchmark. */
  public static void main(String[] args) throws Exception {
    HttpStackBench bench = new HttpStackBench();
    BenchOptions.parse("http", bench, args);
    bench.run();
  }

  private void run() throws Exception {
    for (String stack : List.of("pekko", "netty")) {
      Process server =
          new ProcessBuilder(
                  "java",
                  "-Xmx150m",
                  "-Xss256k",
                  "-XX:+UseSerialGC",
                  "-XX:TieredStopAtLevel=1",
                  "-cp",
                  System.getProperty("java.class.path"),
                  HttpStackServer.class.getName(),
                  stack,
                  Integer.toString(chunks),
                  Integer.toString(pauseMillis))
              .redirectError(ProcessBuilder.Redirect.INHERIT)
              .start();
      try (BufferedReader out =
          new BufferedReader(
              new InputStreamReader(server.getInputStream(), StandardCharsets.UTF_8))) {
        int port = Integer.parseInt(out.readLine());
        sendLoad(port);
        for (int round = 1; round <= rounds; round++) {
          Duration before = processorTime(server);
          sendLoad(port);
          Duration used = processorTime(server).minus(before);
          System.out.printf(
              "%s, round %d: %.1f us of processor time a request of %d chunks%n",
              stack, round, used.toNanos() / 1_000.0 / requestsPerRound, chunks);
        }
      } finally {
        server.destroy();
        server.waitFor();
      }
    }
  }

  private static Duration processorTime(Process server) {
    return server.info().totalCpuDuration().orElseThrow();
  }

  private void sendLoad(int port) throws Exception {
    ExecutorService clients = Executors.newFixedThreadPool(connections);
    List<Future<?>> futures = new ArrayList<>();
    for (int i = 0; i < connections; i++) {
      futures.add(
          clients.submit(
              () -> {
                sendRequests(port, requestsPerRound / connections);
                return null;
              }));
    }
    for (Future<?> f : futures) {
      f.get();
    }
    clients.shutdown();
  }

  private static void sendRequests(int port, int count) throws IOException {
    byte[] buffer = new byte[8_192];
    try (Socket socket = new Socket("127.0.0.1", port)) {
      socket.setTcpNoDelay(true);
      InputStream in = socket.getInputStream();
      for (int i = 0; i < count; i++) {
        socket.getOutputStream().write(REQUEST);
        readResponse(in, buffer);
      }
    }
  }

  private static void readResponse(InputStream in, byte[] buffer) throws IOException {
    int matched = 0;
    while (matched < LAST_CHUNK.length) {
      int n = in.read(buffer);
      if (n < 0) {
        throw new IOException("the server closed the connection before the end of the response");
      }
      for (int i = 0; i < n; i++) {
        // No other chunk contains the bytes of the last chunk, so a match is the end of the
        // response.
        matched =
            buffer[i] == LAST_CHUNK[matched] ? matched + 1 : buffer[i] == LAST_CHUNK[0] ? 1 : 0;
      }
    }
  }
}
