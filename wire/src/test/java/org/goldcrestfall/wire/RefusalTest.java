package org.goldcrestfall.wire;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import com.google.protobuf.ByteString;
import java.io.IOException;
import java.net.ConnectException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.atomic.AtomicInteger;
import net.jqwik.api.Example;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.Size;
import net.jqwik.api.lifecycle.AfterTry;
import net.jqwik.api.lifecycle.BeforeTry;
import org.goldcrestfall.wire.generated.Body;
import org.goldcrestfall.wire.generated.ConfigRequest;
import org.goldcrestfall.wire.generated.Envelope;
import org.goldcrestfall.wire.generated.Hello;

class RefusalTest {

  private static final Body REQUEST =
      Body.newBuilder().setConfigRequest(ConfigRequest.getDefaultInstance()).build();
  private final RefusalCounter counter = new RefusalCounter();
  private final AtomicInteger handled = new AtomicInteger();
  private NettyPeerTransport server;

  @BeforeTry
  void start() throws IOException {
    server = open("b", RawPeer.CLUSTER, RawPeer.KEY, counter);
    server.registerHandler(
        Body.KindCase.CONFIG_REQUEST,
        (sender, body) -> {
          handled.incrementAndGet();
          return CompletableFuture.completedFuture(body);
        });
  }

  @AfterTry
  void close() {
    server.close();
  }

  private static NettyPeerTransport open(
      String host, String cluster, byte[] key, TransportListener listener) throws IOException {
    return new NettyPeerTransport(new PeerSettings(host, "127.0.0.1", 0, cluster, key), listener);
  }

  private void expectRefusal(ConnectionRefusal refusal) {
    assertThat(counter.refusals).containsExactly(refusal);
    assertThat(handled).hasValue(0);
  }

  private void expectRefused(Envelope.Builder envelope, ConnectionRefusal refusal)
      throws IOException {
    try (RawPeer raw = RawPeer.connect(server.address()).authenticate()) {
      raw.send(envelope);
      raw.awaitClose();
    }
    expectRefusal(refusal);
  }

  // Guards against misinterpreting a message of another protocol version.
  @Example
  void otherVersionIsRefused() throws IOException {
    expectRefused(RawPeer.envelope(REQUEST).setVersion(2), ConnectionRefusal.BAD_VERSION);
  }

  // Guards against passing a corrupted message to a handler.
  @Example
  void corruptedBodyIsRefused() throws IOException {
    expectRefused(RawPeer.envelope(REQUEST).setChecksum(1), ConnectionRefusal.BAD_CHECKSUM);
  }

  // Guards against an authenticated peer that impersonates another host.
  @Example
  void foreignSenderHostIsRefused() throws IOException {
    expectRefused(RawPeer.envelope(REQUEST).setSenderHost("c"), ConnectionRefusal.UNAUTHENTICATED);
  }

  // Guards against a body that has a valid checksum but is not protobuf.
  @Example
  void malformedBodyIsRefused() throws IOException {
    var body = ByteString.copyFromUtf8("not protobuf");
    expectRefused(FrameCodec.envelope(body).setSenderHost("raw"), ConnectionRefusal.MALFORMED);
  }

  // Guards against a length prefix that makes the daemon allocate gigabytes.
  @Example
  void oversizeFrameIsRefused() throws IOException {
    try (RawPeer raw = RawPeer.connect(server.address()).authenticate()) {
      raw.sendBytes(new byte[] {0, 0x40, 0, 1});
      raw.awaitClose();
    }
    expectRefusal(ConnectionRefusal.OVERSIZE);
  }

  // Guards against large allocations for an unauthenticated peer.
  @Example
  void longFrameBeforeTheHandshakeIsRefused() throws IOException {
    try (RawPeer raw = RawPeer.connect(server.address())) {
      raw.sendBytes(new byte[] {0, 1, 0, 0});
      raw.awaitClose();
    }
    expectRefusal(ConnectionRefusal.OVERSIZE);
  }

  // Guards against handling a message of an unauthenticated peer.
  @Example
  void messageBeforeTheHandshakeIsRefused() throws IOException {
    try (RawPeer raw = RawPeer.connect(server.address())) {
      raw.send(RawPeer.envelope(REQUEST));
      raw.awaitClose();
    }
    expectRefusal(ConnectionRefusal.UNAUTHENTICATED);
  }

  // Guards against an acceptor that does not verify the proof.
  @Example
  void wrongKeyIsRefused() throws IOException {
    byte[] other = "another key of 16 or more".getBytes();
    try (NettyPeerTransport a = open("a", RawPeer.CLUSTER, other, TransportListener.NONE)) {
      assertThatThrownBy(() -> a.call(server.address(), REQUEST, 5000).get())
          .hasCauseInstanceOf(ConnectException.class);
    }
    expectRefusal(ConnectionRefusal.UNAUTHENTICATED);
  }

  // Guards against connections between two clusters that share a network.
  @Example
  void wrongClusterIsRefused() throws IOException {
    try (NettyPeerTransport a = open("a", "other", RawPeer.KEY, TransportListener.NONE)) {
      assertThatThrownBy(() -> a.call(server.address(), REQUEST, 5000).get())
          .hasCauseInstanceOf(ConnectException.class);
    }
    expectRefusal(ConnectionRefusal.WRONG_CLUSTER);
  }

  // Guards against reflection: an impostor without the key returns the initiator's own messages.
  @Example
  void reflectedProofIsRefused() throws Exception {
    try (ServerSocket s = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
      var call = server.call("127.0.0.1:" + s.getLocalPort(), REQUEST, 5000);
      try (RawPeer impostor = new RawPeer(s.accept())) {
        Hello hello = impostor.receive().getHello();
        impostor.send(RawPeer.envelope(Body.newBuilder().setHello(hello).build()));
        impostor.sendProof(impostor.receive().getProof().getMac().toByteArray());
        impostor.awaitClose();
      }
      assertThatThrownBy(call::get).hasCauseInstanceOf(ConnectException.class);
    }
    expectRefusal(ConnectionRefusal.UNAUTHENTICATED);
  }

  // Guards against random input that stops the transport or reaches a handler.
  @Property(tries = 60, seed = "20261204")
  void randomInputDoesNotStopTheTransport(
      @ForAll boolean authenticated, @ForAll @Size(min = 1, max = 400) byte[] input)
      throws Exception {
    try (RawPeer raw = RawPeer.connect(server.address())) {
      if (authenticated) {
        raw.authenticate();
      }
      raw.sendBytes(input);
    }
    assertThat(handled).hasValue(0);
    try (NettyPeerTransport a = open("a", RawPeer.CLUSTER, RawPeer.KEY, TransportListener.NONE)) {
      assertThat(a.call(server.address(), REQUEST, 10_000).get()).isEqualTo(REQUEST);
    }
    handled.set(0);
  }
}
