package org.goldcrestfall.daemon.upstream;

import static java.nio.charset.StandardCharsets.ISO_8859_1;
import static org.assertj.core.api.Assertions.assertThat;

import java.io.IOException;
import java.io.InputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import net.jqwik.api.Example;
import net.jqwik.api.lifecycle.AfterTry;
import net.jqwik.api.lifecycle.BeforeTry;
import org.apache.pekko.actor.typed.ActorSystem;
import org.apache.pekko.actor.typed.javadsl.Behaviors;
import org.apache.pekko.http.javadsl.model.HttpRequest;
import org.apache.pekko.stream.javadsl.Sink;
import org.goldcrestfall.daemon.http.HttpResponses;

/**
 * Guards against responses of engines and services that break off and are taken for complete, and
 * against calls that are sent twice: each response is cut at every byte of its head and body, by an
 * orderly end and by a reset of the connection. Orders to engines use the same client as services.
 */
class CutResponseClientTest {

  /** Time for the client to read the bytes before a reset, which discards unread ones. */
  private static final int MILLIS_BEFORE_RESET = 2;

  private static final long TIMEOUT_MILLIS = 5_000;

  /** More than the buffers of a connection on loopback hold. */
  private static final int UPLOAD_BYTES = 8_000_000;

  private static final List<String> EVENTS =
      List.of(
          "data: {\"offset\":0,\"choices\":[{\"delta\":{\"content\":\"a\"}}]}\n\n",
          "data: {\"offset\":1,\"choices\":[{\"delta\":{\"content\":\"b\"}}]}\n\n",
          "data: [DONE]\n\n");

  private final AtomicInteger calls = new AtomicInteger();
  private ActorSystem<Void> system;
  private ServerSocket server;
  private String address;
  private volatile String response;
  private volatile boolean reset;

  @BeforeTry
  void open() throws IOException {
    system = ActorSystem.create(Behaviors.empty(), "cut");
    server = new ServerSocket(0, 50, InetAddress.getByName("127.0.0.1"));
    address = "127.0.0.1:" + server.getLocalPort();
    Thread t = new Thread(this::serve, "cut-responses");
    t.setDaemon(true);
    t.start();
  }

  @AfterTry
  void close() throws Exception {
    server.close();
    system.terminate();
    system.getWhenTerminated().toCompletableFuture().get(10, TimeUnit.SECONDS);
  }

  private void serve() {
    while (!server.isClosed()) {
      try (Socket socket = server.accept()) {
        if (!readRequest(socket.getInputStream())) {
          continue;
        }
        calls.incrementAndGet();
        socket.getOutputStream().write(response.getBytes(ISO_8859_1));
        if (reset) {
          Thread.sleep(MILLIS_BEFORE_RESET);
          socket.setSoLinger(true, 0);
        }
      } catch (IOException | InterruptedException e) {
        // The client closes connections that it no longer needs.
      }
    }
  }

  private static boolean readRequest(InputStream in) throws IOException {
    StringBuilder head = new StringBuilder();
    while (head.indexOf("\r\n\r\n") < 0) {
      int b = in.read();
      if (b < 0) {
        return false;
      }
      head.append((char) b);
    }
    if (head.indexOf("POST") == 0) {
      in.readNBytes(2);
    }
    return true;
  }

  private interface CutCheck {

    /**
     * Checks the result of a call.
     *
     * @param bodyBytes number of bytes of the body that arrive, if the body has no stated length
     *     and ends with the connection, otherwise -1
     */
    void run(String cut, int bodyBytes) throws Exception;
  }

  private void forEachCut(String contentType, List<String> parts, CutCheck check) throws Exception {
    String body = String.join("", parts);
    StringBuilder chunks = new StringBuilder();
    parts.forEach(p -> chunks.append(Integer.toHexString(p.length())).append("\r\n" + p + "\r\n"));
    String start = "HTTP/1.1 200 OK\r\nContent-Type: " + contentType + "\r\n";
    String chunked = start + "Transfer-Encoding: chunked\r\n\r\n" + chunks + "0\r\n";
    List<String> responses =
        List.of(
            start + "Content-Length: " + body.length() + "\r\n\r\n" + body,
            chunked + "\r\n",
            chunked + "X-Sum: 1\r\n\r\n",
            start + "\r\n" + body);
    for (String whole : responses) {
      boolean untilClose = !whole.contains("Content-Length") && !whole.contains("chunked");
      int headBytes = whole.indexOf("\r\n\r\n") + 4;
      for (int bytes = 0; bytes < whole.length(); bytes++) {
        for (boolean r : new boolean[] {false, true}) {
          response = whole.substring(0, bytes);
          reset = r;
          int before = calls.get();
          check.run(
              (r ? "reset after " : "end after ") + bytes + " bytes of " + whole,
              untilClose && !r ? bytes - headBytes : -1);
          assertThat(calls.get()).as(response).isEqualTo(before + 1);
        }
      }
    }
  }

  @Example
  void cutResponseOfServiceFailsTheCallAndIsNotTakenForNotSent() throws Exception {
    ServiceClient client = new ServiceClient(system);
    HttpRequest request = HttpRequest.POST("http://" + address + "/a").withEntity("in");
    forEachCut(
        "text/plain",
        List.of("one ", "two"),
        (cut, bodyBytes) -> {
          try {
            ServiceResponse r =
                client.call(address, request, TIMEOUT_MILLIS).get(10, TimeUnit.SECONDS);
            assertThat(r.body().length).as(cut).isEqualTo(bodyBytes);
          } catch (ExecutionException e) {
            assertThat(bodyBytes).as(cut).isNegative();
            assertThat(HttpResponses.unwrap(e)).as(cut).isNotInstanceOf(NotSentException.class);
          }
        });
  }

  /** The reset then fails a write of the request, and the end of the response looks orderly. */
  @Example
  void responseOfServiceThatIsResetDuringUploadFailsTheCall() {
    ServiceClient client = new ServiceClient(system);
    HttpRequest upload =
        HttpRequest.POST("http://" + address + "/a").withEntity(new byte[UPLOAD_BYTES]);
    response = "HTTP/1.1 200 OK\r\nContent-Type: text/plain\r\n\r\npart";
    reset = true;
    for (int i = 0; i < 10; i++) {
      assertThat(client.call(address, upload, TIMEOUT_MILLIS))
          .failsWithin(10, TimeUnit.SECONDS)
          .withThrowableOfType(ExecutionException.class)
          .matches(e -> !(HttpResponses.unwrap(e) instanceof NotSentException));
    }
  }

  @Example
  void statusThatIsNoneFailsTheCall() {
    ServiceClient client = new ServiceClient(system);
    HttpRequest request = HttpRequest.POST("http://" + address + "/a").withEntity("in");
    for (String status : List.of("000", "001", "099", "600", "999")) {
      response = "HTTP/1.1 " + status + " X\r\nContent-Length: 2\r\n\r\nok";
      assertThat(client.call(address, request, TIMEOUT_MILLIS))
          .as(status)
          .failsWithin(10, TimeUnit.SECONDS)
          .withThrowableOfType(ExecutionException.class)
          .matches(e -> !(HttpResponses.unwrap(e) instanceof NotSentException));
    }
  }

  @Example
  void cutStreamOfEngineFailsAfterWholeTokens() throws Exception {
    EngineClient client = new EngineClient(system);
    String body = String.join("", EVENTS);
    // Without its last empty line the stream has all that it must have.
    int needed = body.length() - 1;
    forEachCut(
        "text/event-stream",
        EVENTS,
        (cut, bodyBytes) -> {
          List<String> tokens = Collections.synchronizedList(new ArrayList<>());
          try {
            client
                .open(address, "{}".getBytes(ISO_8859_1), TIMEOUT_MILLIS)
                .thenCompose(
                    s -> s.runWith(Sink.foreach(l -> l.forEach(e -> tokens.add(e.text()))), system))
                .toCompletableFuture()
                .get(10, TimeUnit.SECONDS);
            assertThat(bodyBytes).as(cut).isGreaterThanOrEqualTo(needed);
          } catch (ExecutionException e) {
            assertThat(bodyBytes).as(cut).isLessThan(needed);
            assertThat(HttpResponses.unwrap(e)).as(cut).isNotInstanceOf(NotSentException.class);
          }
          assertThat(tokens).as(cut).isEqualTo(List.of("a", "b").subList(0, tokens.size()));
        });
  }
}
