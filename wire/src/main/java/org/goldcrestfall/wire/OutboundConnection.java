package org.goldcrestfall.wire;

import com.google.common.flogger.FluentLogger;
import com.google.common.net.HostAndPort;
import com.google.protobuf.ByteString;
import com.google.protobuf.InvalidProtocolBufferException;
import io.netty.bootstrap.Bootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.EventLoop;
import io.netty.util.concurrent.ScheduledFuture;
import java.io.IOException;
import java.net.ConnectException;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;
import java.util.function.LongSupplier;
import org.goldcrestfall.wire.generated.Body;
import org.goldcrestfall.wire.generated.Envelope;

/**
 * The connection to one address, opened on demand. All state is confined to one event loop. Calls
 * wait until the handshake is complete; messages without a reply are dropped instead. A call that
 * was never handed to the socket fails with {@link ConnectException}, even if it timed out.
 */
final class OutboundConnection {

  static final int MAX_WAITING_CALLS = 256;
  private static final FluentLogger logger = FluentLogger.forEnclosingClass();

  private final String address;
  private final EventLoop loop;
  private final String host;
  private final LongSupplier boot;
  private final TransportListener listener;
  private final Backoff backoff = new Backoff(new SplittableRandom());
  private final Deque<Call> waiting = new ArrayDeque<>();
  private final Map<Long, Call> inFlight = new HashMap<>();
  private Bootstrap bootstrap;

  /** The channel that is connecting or connected, or null. */
  private Channel currentChannel;

  /** The current channel once its handshake is complete, otherwise null. */
  private Channel authenticatedChannel;

  private boolean closed;
  private boolean silentSinceWrite;
  private long retryAtNanos = System.nanoTime();
  private long lastCallId;

  /** A call; {@code id} is 0 until the message is handed to the socket. */
  private static final class Call {
    private final CompletableFuture<Body> result;
    private final ByteString body;
    private ScheduledFuture<?> timer;
    private long id;

    Call(CompletableFuture<Body> result, ByteString body) {
      this.result = result;
      this.body = body;
    }

    void fail(Exception cause) {
      timer.cancel(false);
      result.completeExceptionally(cause);
    }
  }

  OutboundConnection(
      String address, EventLoop loop, String host, LongSupplier boot, TransportListener listener) {
    this.address = address;
    this.loop = loop;
    this.host = host;
    this.boot = boot;
    this.listener = listener;
  }

  /**
   * Sets the bootstrap that opens the connection. Must be called once, before the first message.
   */
  void setBootstrap(Bootstrap bootstrap) {
    this.bootstrap = bootstrap;
  }

  EventLoop loop() {
    return loop;
  }

  /** Sends a message without a reply; drops it if the connection cannot take it at once. */
  void send(ByteString body) {
    connect();
    if (authenticatedChannel != null
        && authenticatedChannel.isActive()
        && authenticatedChannel.isWritable()) {
      write(0, body);
    } else {
      listener.dropped(address);
    }
  }

  /** Writes a call now, or once the handshake is complete. */
  void call(ByteString body, long timeoutMillis, CompletableFuture<Body> result) {
    connect();
    Call call = new Call(result, body);
    call.timer = loop.schedule(() -> onTimeout(call), timeoutMillis, TimeUnit.MILLISECONDS);
    if (authenticatedChannel != null) {
      writeCall(call);
    } else if (currentChannel == null) {
      call.fail(notSent("not connected"));
    } else if (waiting.size() >= MAX_WAITING_CALLS) {
      call.fail(notSent("too many calls are waiting for the connection"));
    } else {
      waiting.add(call);
    }
  }

  private ConnectException notSent(String reason) {
    return new ConnectException("peer " + address + ": " + reason);
  }

  private void writeCall(Call call) {
    if (!authenticatedChannel.isActive() || !authenticatedChannel.isWritable()) {
      call.fail(
          notSent(
              authenticatedChannel.isActive() ? "send buffer is full" : "connection is closed"));
      return;
    }
    call.id = ++lastCallId;
    inFlight.put(call.id, call);
    write(call.id, call.body);
  }

  private void write(long callId, ByteString body) {
    Envelope.Builder envelope = FrameCodec.envelope(body);
    envelope.setSenderHost(host).setSenderBoot(boot.getAsLong()).setCallId(callId);
    silentSinceWrite = true;
    authenticatedChannel.writeAndFlush(envelope.build());
  }

  private void onTimeout(Call call) {
    if (call.id == 0) {
      waiting.remove(call);
      call.fail(notSent("timed out before the connection was established"));
    } else if (inFlight.remove(call.id) != null) {
      call.fail(new TimeoutException("peer " + address + ": timed out waiting for the reply"));
    }
  }

  private void connect() {
    if (closed || currentChannel != null || System.nanoTime() - retryAtNanos < 0) {
      return;
    }
    try {
      HostAndPort target = HostAndPort.fromString(address);
      ChannelFuture f = bootstrap.connect(target.getHost(), target.getPort());
      currentChannel = f.channel();
      currentChannel.closeFuture().addListener(c -> disconnected(f.channel(), f.cause()));
    } catch (IllegalArgumentException | IllegalStateException e) {
      logger.atWarning().atMostEvery(10, TimeUnit.SECONDS).log(
          "peer: invalid address: %s", address);
      delayRetry();
    }
  }

  private void delayRetry() {
    retryAtNanos = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(backoff.nextMillis());
  }

  /** Uses {@code c}, whose handshake is complete, from now on and writes the waiting calls. */
  void handshakeCompleted(Channel c) {
    authenticatedChannel = c;
    backoff.reset();
    logger.atFine().log("peer: connected to %s", address);
    for (Call call = waiting.poll(); call != null; call = waiting.poll()) {
      writeCall(call);
    }
  }

  private void disconnected(Channel c, Throwable cause) {
    if (c != currentChannel) {
      return;
    }
    currentChannel = null;
    authenticatedChannel = null;
    delayRetry();
    logger.atFine().log("peer: connection to %s is closed: %s", address, cause);
    final List<Call> unsent = List.copyOf(waiting);
    final List<Call> unanswered = List.copyOf(inFlight.values());
    waiting.clear();
    inFlight.clear();
    for (Call call : unsent) {
      call.fail(notSent("connection failed" + (cause == null ? "" : ": " + cause.getMessage())));
    }
    for (Call call : unanswered) {
      call.fail(new IOException("peer " + address + ": connection was lost before the reply"));
    }
  }

  /** Completes the call that {@code envelope} replies to; ignores replies to unknown calls. */
  void receive(Envelope envelope) throws InvalidProtocolBufferException {
    silentSinceWrite = false;
    Call call = inFlight.remove(envelope.getCallId());
    if (call == null) {
      return;
    }
    Body body;
    try {
      body = Body.parseFrom(envelope.getBody());
    } catch (InvalidProtocolBufferException e) {
      call.fail(new IOException("peer " + address + ": malformed reply", e));
      throw e;
    }
    if (body.hasFailure()) {
      call.fail(new RemoteFailure(body.getFailure().getKind(), body.getFailure().getMessage()));
    } else {
      call.timer.cancel(false);
      call.result.complete(body);
    }
  }

  /** Returns whether a message was written and nothing has been received since. */
  boolean silentSinceWrite() {
    return silentSinceWrite;
  }

  boolean hasCallsInFlight() {
    return !inFlight.isEmpty();
  }

  /** Sends an empty message, to which a live peer replies with an empty one. */
  void sendKeepAlive() {
    write(0, ByteString.EMPTY);
  }

  /** Fails all calls and closes the connection permanently. */
  void close() {
    closed = true;
    if (currentChannel != null) {
      Channel c = currentChannel;
      disconnected(c, new IOException("transport is closed"));
      c.close();
    }
  }
}
