package org.goldcrestfall.daemon.upstream;

import static java.nio.charset.StandardCharsets.UTF_8;
import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import java.io.IOException;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import net.jqwik.api.Example;
import net.jqwik.api.lifecycle.AfterTry;
import net.jqwik.api.lifecycle.BeforeTry;
import org.apache.pekko.actor.typed.ActorSystem;
import org.apache.pekko.actor.typed.javadsl.Behaviors;
import org.apache.pekko.stream.javadsl.Sink;
import org.goldcrestfall.core.common.MillisClock;
import org.goldcrestfall.core.retry.RetryPolicy;
import org.goldcrestfall.core.retry.RetrySettings;
import org.goldcrestfall.daemon.metrics.DaemonMetrics;

/**
 * Guards against slow but sound streams of engines that are cut, and against stalled ones that
 * never end because the engine sends bytes, comments or events without a token now and then.
 */
class ChatStreamPaceTest {

  /** Speed of the clock, which keeps the test short. */
  private static final int CLOCK_FACTOR = 20;

  /** With the clock's speed, three fifths of the time limit between two tokens. */
  private static final int SLOW_PACE_MILLIS = 300;

  private static final int SENDING_INTERVAL_MILLIS = 50;
  private static final int WAIT_SECONDS = 15;
  private static final String HEAD =
      "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nConnection: close\r\n\r\n";
  private static final String TOKEN =
      "data: {\"offset\":%s,\"choices\":[{\"delta\":{\"content\":\"a\"}}]}\n\n";

  private ActorSystem<Void> system;
  private ServerSocket server;

  private interface Script {
    void write(OutputStream out) throws Exception;
  }

  @BeforeTry
  void open() throws IOException {
    system = ActorSystem.create(Behaviors.empty(), "pace");
    server = new ServerSocket(0, 50, InetAddress.getByName("127.0.0.1"));
  }

  @AfterTry
  void close() throws Exception {
    server.close();
    system.terminate();
    system.getWhenTerminated().toCompletableFuture().get(10, TimeUnit.SECONDS);
  }

  private List<String> run(Script script) throws Exception {
    Thread t =
        new Thread(
            () -> {
              try (Socket socket = server.accept()) {
                socket.getInputStream().read(new byte[65_536]);
                socket.getOutputStream().write(HEAD.getBytes(UTF_8));
                script.write(socket.getOutputStream());
              } catch (Exception e) {
                // The router has closed the connection.
              }
            });
    t.setDaemon(true);
    t.start();
    MillisClock real = MillisClock.monotonic();
    MillisClock fast = () -> real.nowMillis() * CLOCK_FACTOR;
    var noRetries = new RetrySettings(1, 0.1, 1, 0, 10_000, 1, 1);
    var retries = new SharedRetryPolicy(new RetryPolicy(noRetries, 1), fast, new DaemonMetrics());
    ChatCall call =
        ChatCall.parse(
            "{\"model\":\"m\",\"messages\":[{\"role\":\"user\",\"content\":\"x\"}]}"
                .getBytes(UTF_8),
            100,
            100);
    ChatStream stream =
        new ChatStream(
            call,
            "r",
            0,
            fast.nowMillis(),
            new ChatStream.Dependencies(
                (c, excluded) -> Optional.of(engine()), new EngineClient(system), retries, fast));
    List<String> out = new ArrayList<>();
    stream
        .tokens()
        .runWith(Sink.foreach(out::addAll), system)
        .toCompletableFuture()
        .get(WAIT_SECONDS, TimeUnit.SECONDS);
    assertThat(stream.isComplete()).isTrue();
    return out;
  }

  private EngineSelector.Selection engine() {
    return new EngineSelector.Selection() {
      @Override
      public String name() {
        return "e";
      }

      @Override
      public String address() {
        return "127.0.0.1:" + server.getLocalPort();
      }

      @Override
      public void firstToken() {}

      @Override
      public void finished() {}

      @Override
      public void failed() {}
    };
  }

  @Example
  void slowStreamIsForwardedToItsEnd() throws Exception {
    List<String> tokens =
        run(
            out -> {
              for (int i = 0; i < 12; i++) {
                Thread.sleep(SLOW_PACE_MILLIS);
                out.write(TOKEN.formatted(i).getBytes(UTF_8));
              }
              out.write(
                  ("data: {\"choices\":[{\"delta\":{},\"finish_reason\":\"stop\"}]}\n\n"
                          + "data: [DONE]\n\n")
                      .getBytes(UTF_8));
            });
    assertThat(tokens).hasSize(12);
  }

  @Example
  void stalledStreamEndsWhateverElseTheEngineSends() {
    for (String sent : List.of("d", ": comment\n\n", "data: {\"choices\":[]}\n\n")) {
      assertThatThrownBy(
              () ->
                  run(
                      out -> {
                        out.write(TOKEN.formatted(0).getBytes(UTF_8));
                        while (true) {
                          out.write(sent.getBytes(UTF_8));
                          Thread.sleep(SENDING_INTERVAL_MILLIS);
                        }
                      }))
          .as(sent)
          .isInstanceOf(ExecutionException.class)
          .hasMessageContaining("no token for");
    }
  }
}
