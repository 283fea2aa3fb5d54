package org.goldcrestfall.wire;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import com.google.protobuf.ByteString;
import java.io.IOException;
import java.net.ConnectException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;
import net.jqwik.api.Example;
import net.jqwik.api.lifecycle.AfterTry;
import org.goldcrestfall.core.common.Incarnation;
import org.goldcrestfall.wire.generated.AnswerChunk;
import org.goldcrestfall.wire.generated.Body;
import org.goldcrestfall.wire.generated.ConfigReply;
import org.goldcrestfall.wire.generated.ConfigRequest;

class NettyPeerTransportTest {

  private static final long TIMEOUT_MILLIS = 10_000;
  private final List<AutoCloseable> opened = new ArrayList<>();

  @AfterTry
  void closeAll() throws Exception {
    for (AutoCloseable c : opened) {
      c.close();
    }
  }

  private NettyPeerTransport open(String host, int port, TransportListener listener)
      throws IOException {
    var s = new PeerSettings(host, "127.0.0.1", port, RawPeer.CLUSTER, RawPeer.KEY);
    var t = new NettyPeerTransport(s, listener);
    opened.add(t);
    return t;
  }

  private NettyPeerTransport open(String host) throws IOException {
    return open(host, 0, TransportListener.NONE);
  }

  private ServerSocket listen() throws IOException {
    var s = new ServerSocket(0, 50, InetAddress.getLoopbackAddress());
    opened.add(s);
    return s;
  }

  private static Body request(long revision) {
    var r = ConfigRequest.newBuilder().setRevision(revision);
    return Body.newBuilder().setConfigRequest(r).build();
  }

  private static Body reply(long revision) {
    var r = ConfigReply.newBuilder().setRevision(revision);
    return Body.newBuilder().setConfigReply(r).build();
  }

  private static Throwable failure(CompletableFuture<Body> call) throws Exception {
    try {
      call.get(TIMEOUT_MILLIS, TimeUnit.MILLISECONDS);
    } catch (ExecutionException e) {
      return e.getCause();
    }
    throw new AssertionError("call did not fail");
  }

  // Guards against replies that complete another call and against a wrong sender incarnation.
  @Example
  void everyCallGetsItsOwnReplyAndStatesItsSender() throws Exception {
    NettyPeerTransport a = open("a");
    NettyPeerTransport b = open("b");
    List<Incarnation> senders = new ArrayList<>();
    List<Runnable> heldReplies = new ArrayList<>();
    b.registerHandler(
        Body.KindCase.CONFIG_REQUEST,
        (sender, body) -> {
          CompletableFuture<Body> result = new CompletableFuture<>();
          senders.add(sender);
          heldReplies.add(() -> result.complete(reply(body.getConfigRequest().getRevision())));
          if (heldReplies.size() == 20) {
            // The replies are sent in the reverse order of the calls.
            for (int i = heldReplies.size() - 1; i >= 0; i--) {
              heldReplies.get(i).run();
            }
          }
          return result;
        });
    a.setIncarnation(new Incarnation("a", 7));
    List<CompletableFuture<Body>> calls = new ArrayList<>();
    for (int i = 0; i < 20; i++) {
      calls.add(a.call(b.address(), request(i), TIMEOUT_MILLIS));
    }
    for (int i = 0; i < 20; i++) {
      Body r = calls.get(i).get(TIMEOUT_MILLIS, TimeUnit.MILLISECONDS);
      assertThat(r.getConfigReply().getRevision()).isEqualTo(i);
    }
    assertThat(senders).containsOnly(new Incarnation("a", 7));
  }

  // Guards against reporting an unknown outcome if the connection was refused.
  @Example
  void callToClosedPortFailsAsNotSent() throws Exception {
    int port;
    try (ServerSocket s = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
      port = s.getLocalPort();
    }
    CompletableFuture<Body> call = open("a").call("127.0.0.1:" + port, request(1), 5000);
    assertThat(failure(call)).isInstanceOf(ConnectException.class);
  }

  // Guards against reporting a call as possibly sent that timed out while waiting for the
  // handshake.
  @Example
  void unsentCallFailsAsNotSentOnTimeout() throws Exception {
    ServerSocket silent = listen();
    var call = open("a").call("127.0.0.1:" + silent.getLocalPort(), request(1), 100);
    assertThat(failure(call)).isInstanceOf(ConnectException.class);
  }

  // Guards against a call that never completes, and against reporting a sent call as not sent.
  @Example
  void callWithoutReplyTimesOut() throws Exception {
    NettyPeerTransport b = open("b");
    b.registerHandler(Body.KindCase.CONFIG_REQUEST, (sender, body) -> new CompletableFuture<>());
    NettyPeerTransport a = open("a");
    // Opens the connection first: without one, the call with the short timeout would not be sent.
    failure(a.call(b.address(), reply(0), TIMEOUT_MILLIS));
    var call = a.call(b.address(), request(1), 300);
    assertThat(failure(call)).isInstanceOf(TimeoutException.class);
  }

  // Guards against reporting a call as not sent although the peer may have executed it.
  @Example
  void callOnLostConnectionFailsAsPossiblySent() throws Exception {
    ServerSocket s = listen();
    var call = open("a").call("127.0.0.1:" + s.getLocalPort(), request(1), TIMEOUT_MILLIS);
    RawPeer raw = new RawPeer(s.accept()).accept();
    assertThat(raw.receive().hasConfigRequest()).isTrue();
    raw.close();
    assertThat(failure(call))
        .isInstanceOf(IOException.class)
        .isNotInstanceOf(ConnectException.class);
  }

  // Guards against a send buffer that grows without bound if the peer does not read.
  @Example
  void fullSendBufferRefusesCallsAsNotSentAndDropsMessages() throws Exception {
    RefusalCounter counter = new RefusalCounter();
    NettyPeerTransport a = open("a", 0, counter);
    ServerSocket s = listen();
    String address = "127.0.0.1:" + s.getLocalPort();
    final var first = a.call(address, request(1), TIMEOUT_MILLIS);
    RawPeer raw = new RawPeer(s.accept()).accept();
    raw.receive();
    var chunk = AnswerChunk.newBuilder().addTokens("x".repeat(1 << 20));
    Body large = Body.newBuilder().setAnswerChunk(chunk).build();
    List<CompletableFuture<Body>> calls = new ArrayList<>();
    for (int i = 0; i < 40; i++) {
      calls.add(a.call(address, large, TIMEOUT_MILLIS));
    }
    assertThat(failure(calls.get(39))).isInstanceOf(ConnectException.class);
    a.send(address, large);
    // The I/O thread drops the message asynchronously; it must do so before it sees the close.
    long deadlineNanos = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(TIMEOUT_MILLIS);
    while (counter.dropped.get() == 0 && System.nanoTime() < deadlineNanos) {
      Thread.onSpinWait();
    }
    raw.close();
    assertThat(failure(first)).isNotInstanceOf(ConnectException.class);
    assertThat(failure(calls.get(0))).isNotInstanceOf(ConnectException.class);
    assertThat(counter.dropped.get()).isEqualTo(1);
  }

  // Guards against a failed or missing handler that the caller takes for success or a lost message.
  @Example
  void failedAndMissingHandlersAreReported() throws Exception {
    NettyPeerTransport a = open("a");
    NettyPeerTransport b = open("b");
    assertThat(failure(a.call(b.address(), request(1), TIMEOUT_MILLIS)))
        .isInstanceOfSatisfying(
            RemoteFailure.class, f -> assertThat(f.kind()).isEqualTo("no_handler"));
    b.registerHandler(
        Body.KindCase.CONFIG_REQUEST,
        (sender, body) -> {
          throw new IllegalStateException("not now");
        });
    assertThat(failure(a.call(b.address(), request(1), TIMEOUT_MILLIS)))
        .isInstanceOf(RemoteFailure.class)
        .hasMessageContaining("not now");
  }

  // Guards against a connection that is not reestablished after the peer has restarted.
  @Example
  void connectsAgainAfterThePeerRestarts() throws Exception {
    NettyPeerTransport a = open("a");
    NettyPeerTransport b = open("b");
    String address = b.address();
    b.registerHandler(
        Body.KindCase.CONFIG_REQUEST, (s, m) -> CompletableFuture.completedFuture(reply(1)));
    a.call(address, request(0), TIMEOUT_MILLIS).get();
    b.close();
    failure(a.call(address, request(0), TIMEOUT_MILLIS));
    int port = Integer.parseInt(address.substring(address.indexOf(':') + 1));
    NettyPeerTransport restarted = open("b", port, TransportListener.NONE);
    restarted.registerHandler(
        Body.KindCase.CONFIG_REQUEST, (s, m) -> CompletableFuture.completedFuture(reply(2)));
    for (int i = 0; i < 200; i++) {
      try {
        Body r = a.call(address, request(0), TIMEOUT_MILLIS).get();
        assertThat(r.getConfigReply().getRevision()).isEqualTo(2);
        return;
      } catch (ExecutionException e) {
        Thread.sleep(50);
      }
    }
    throw new AssertionError("no connection after the restart");
  }

  // Guards against losing a message or reply that exceeds the frame limit without an error.
  @Example
  void tooLongMessageIsNotSent() throws Exception {
    var chunk = ConfigReply.newBuilder().setView(ByteString.copyFrom(new byte[5 << 20]));
    Body large = Body.newBuilder().setConfigReply(chunk).build();
    NettyPeerTransport a = open("a");
    assertThat(failure(a.call("127.0.0.1:1", large, 1000))).isInstanceOf(ConnectException.class);
    NettyPeerTransport b = open("b");
    b.registerHandler(
        Body.KindCase.CONFIG_REQUEST, (s, m) -> CompletableFuture.completedFuture(large));
    assertThat(failure(a.call(b.address(), request(1), TIMEOUT_MILLIS)))
        .isInstanceOfSatisfying(
            RemoteFailure.class, f -> assertThat(f.kind()).isEqualTo("reply_too_long"));
  }

  // Guards against accepting a key that is short enough to be guessed.
  @Example
  void shortKeyIsRefused() {
    assertThatThrownBy(() -> new PeerSettings("a", "127.0.0.1", 0, "c", new byte[15]))
        .isInstanceOf(IllegalArgumentException.class);
  }
}
