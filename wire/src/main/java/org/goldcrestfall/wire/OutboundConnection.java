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
 * wait for the handshake; other messages do not. A call that was never handed to the socket fails
 * with {@link ConnectException}, also when its time is up.
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
  private Channel attempt;
  private Channel channel;
  private boolean closed;
  private boolean unheard;
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

  /** Sets how the connection is opened; needed once, before use. */
  void open(Bootstrap bootstrap) {
    this.bootstrap = bootstrap;
  }

  EventLoop loop() {
    return loop;
  }

  /** Sends a message without a reply, or drops it. */
  void send(ByteString body) {
    connect();
    if (channel != null && channel.isActive() && channel.isWritable()) {
      write(0, body);
    } else {
      listener.dropped(address);
    }
  }

  /** Starts a call, now or after the handshake. */
  void call(ByteString body, long timeoutMillis, CompletableFuture<Body> result) {
    connect();
    Call call = new Call(result, body);
    call.timer = loop.schedule(() -> expire(call), timeoutMillis, TimeUnit.MILLISECONDS);
    if (channel != null) {
      start(call);
    } else if (attempt == null) {
      call.fail(notSent("not connected"));
    } else if (waiting.size() >= MAX_WAITING_CALLS) {
      call.fail(notSent("too many calls wait for the connection"));
    } else {
      waiting.add(call);
    }
  }

  private ConnectException notSent(String reason) {
    return new ConnectException("peer " + address + ": " + reason);
  }

  private void start(Call call) {
    if (!channel.isActive() || !channel.isWritable()) {
      call.fail(notSent(channel.isActive() ? "send buffer is full" : "connection is closed"));
      return;
    }
    call.id = ++lastCallId;
    inFlight.put(call.id, call);
    write(call.id, call.body);
  }

  private void write(long callId, ByteString body) {
    Envelope.Builder envelope = FrameCodec.envelope(body);
    envelope.setSenderHost(host).setSenderBoot(boot.getAsLong()).setCallId(callId);
    unheard = true;
    channel.writeAndFlush(envelope.build());
  }

  private void expire(Call call) {
    if (call.id == 0) {
      waiting.remove(call);
      call.fail(notSent("not connected in time"));
    } else if (inFlight.remove(call.id) != null) {
      call.fail(new TimeoutException("peer " + address + ": no reply in time"));
    }
  }

  private void connect() {
    if (closed || attempt != null || System.nanoTime() - retryAtNanos < 0) {
      return;
    }
    try {
      HostAndPort target = HostAndPort.fromString(address);
      ChannelFuture f = bootstrap.connect(target.getHost(), target.getPort());
      attempt = f.channel();
      attempt.closeFuture().addListener(c -> disconnected(f.channel(), f.cause()));
    } catch (IllegalArgumentException | IllegalStateException e) {
      logger.atWarning().atMostEvery(10, TimeUnit.SECONDS).log("peer: bad address: %s", address);
      delayRetry();
    }
  }

  private void delayRetry() {
    retryAtNanos = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(backoff.nextMillis());
  }

  /** The handshake on {@code c} is done; the waiting calls start. */
  void ready(Channel c) {
    channel = c;
    backoff.reset();
    logger.atFine().log("peer: connected to %s", address);
    for (Call w = waiting.poll(); w != null; w = waiting.poll()) {
      start(w);
    }
  }

  private void disconnected(Channel c, Throwable cause) {
    if (c != attempt) {
      return;
    }
    attempt = null;
    channel = null;
    delayRetry();
    logger.atFine().log("peer: no connection to %s: %s", address, cause);
    final List<Call> unsent = List.copyOf(waiting);
    final List<Call> unanswered = List.copyOf(inFlight.values());
    waiting.clear();
    inFlight.clear();
    for (Call w : unsent) {
      w.fail(notSent("connection failed" + (cause == null ? "" : ": " + cause.getMessage())));
    }
    for (Call w : unanswered) {
      w.fail(new IOException("peer " + address + ": connection broke before the reply"));
    }
  }

  /** Completes the call that {@code envelope} replies to; replies to unknown calls are dropped. */
  void receive(Envelope envelope) throws InvalidProtocolBufferException {
    unheard = false;
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

  /** Returns whether something was written and nothing was received since. */
  boolean unheard() {
    return unheard;
  }

  boolean hasCalls() {
    return !inFlight.isEmpty();
  }

  /** Asks the peer for a sign of life. */
  void probe() {
    write(0, ByteString.EMPTY);
  }

  /** Fails all calls and closes the connection for good. */
  void close() {
    closed = true;
    if (attempt != null) {
      Channel c = attempt;
      disconnected(c, new IOException("transport is closed"));
      c.close();
    }
  }
}
