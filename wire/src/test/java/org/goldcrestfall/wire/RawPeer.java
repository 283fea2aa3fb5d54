package org.goldcrestfall.wire;

import com.google.common.net.HostAndPort;
import com.google.protobuf.ByteString;
import java.io.DataInputStream;
import java.io.DataOutputStream;
import java.io.IOException;
import java.net.Socket;
import org.goldcrestfall.wire.generated.Body;
import org.goldcrestfall.wire.generated.Envelope;
import org.goldcrestfall.wire.generated.Hello;
import org.goldcrestfall.wire.generated.Proof;

/** A blocking peer that can send frames that a correct daemon would not send. */
final class RawPeer implements AutoCloseable {

  static final byte[] KEY = "0123456789abcdef".getBytes();
  static final String CLUSTER = "test";
  private static final byte[] NONCE = new byte[Handshake.NONCE_BYTES];

  private final Socket socket;
  private final DataInputStream in;
  private final DataOutputStream out;

  RawPeer(Socket socket) throws IOException {
    this.socket = socket;
    socket.setSoTimeout(10_000);
    in = new DataInputStream(socket.getInputStream());
    out = new DataOutputStream(socket.getOutputStream());
  }

  static RawPeer connect(String address) throws IOException {
    HostAndPort a = HostAndPort.fromString(address);
    return new RawPeer(new Socket(a.getHost(), a.getPort()));
  }

  static Envelope.Builder envelope(Body body) {
    return FrameCodec.envelope(body.toByteString()).setSenderHost("raw");
  }

  static Body hello(String cluster) {
    Hello.Builder h = Hello.newBuilder().setHost("raw").setNonce(ByteString.copyFrom(NONCE));
    return Body.newBuilder().setHello(h.setCluster(cluster)).build();
  }

  void sendBytes(byte[] bytes) throws IOException {
    out.write(bytes);
  }

  void send(Envelope.Builder envelope) throws IOException {
    byte[] bytes = envelope.build().toByteArray();
    out.writeInt(bytes.length);
    out.write(bytes);
  }

  Body receive() throws IOException {
    byte[] bytes = new byte[in.readInt()];
    in.readFully(bytes);
    return Body.parseFrom(Envelope.parseFrom(bytes).getBody());
  }

  /** Performs the handshake as the initiator. */
  RawPeer authenticate() throws IOException {
    send(envelope(hello(CLUSTER)));
    Hello peer = receive().getHello();
    byte[] nonce = peer.getNonce().toByteArray();
    Handshake h = new Handshake(CLUSTER, "raw", NONCE, peer.getHost(), nonce);
    sendProof(h.computeProof(KEY, Handshake.Side.INITIATOR));
    receive();
    return this;
  }

  /** Performs the handshake as the acceptor. */
  RawPeer accept() throws IOException {
    Hello peer = receive().getHello();
    send(envelope(hello(CLUSTER)));
    receive();
    byte[] nonce = peer.getNonce().toByteArray();
    Handshake h = new Handshake(CLUSTER, peer.getHost(), nonce, "raw", NONCE);
    sendProof(h.computeProof(KEY, Handshake.Side.ACCEPTOR));
    return this;
  }

  void sendProof(byte[] mac) throws IOException {
    Proof.Builder proof = Proof.newBuilder().setMac(ByteString.copyFrom(mac));
    send(envelope(Body.newBuilder().setProof(proof).build()));
  }

  /** Waits until the daemon has closed the connection. */
  void awaitClose() {
    try {
      while (in.read() >= 0) {
        continue;
      }
    } catch (IOException e) {
      if (e instanceof java.net.SocketTimeoutException) {
        throw new AssertionError("connection is still open", e);
      }
    }
  }

  @Override
  public void close() throws IOException {
    socket.close();
  }
}
