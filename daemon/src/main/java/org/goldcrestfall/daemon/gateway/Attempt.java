package org.goldcrestfall.daemon.gateway;

import com.google.common.base.Splitter;
import com.google.common.flogger.FluentLogger;
import io.netty.buffer.ByteBuf;
import io.netty.buffer.ByteBufAllocator;
import io.netty.buffer.CompositeByteBuf;
import io.netty.handler.codec.http.HttpResponse;
import java.util.List;
import java.util.concurrent.TimeUnit;
import org.goldcrestfall.core.dispatch.UpstreamLoad;
import org.goldcrestfall.core.dispatch.Workload;

/**
 * One send of a request to an upstream and the answer to it. Keeps the upstream's load up to date
 * and tells its listener how the send ended. Confined to the event loop.
 */
final class Attempt implements UpstreamConnection.Receiver {

  private static final FluentLogger logger = FluentLogger.forEnclosingClass();
  private static final Splitter COMMA = Splitter.on(',').trimResults().omitEmptyStrings();

  /** Answers that are not streams are collected up to this size before they are passed on. */
  private static final int MAX_COLLECTED_BYTES = 262_144;

  /** Hears how a send ended: exactly one of these is called, unless it is cancelled. */
  interface Listener {

    /** The upstream states that it has not run the request. */
    void notRun(Attempt attempt, int status);

    /** The whole answer has come and was passed on. */
    void passedOn(Attempt attempt);

    /** The whole answer has come and can be passed on; the listener owns {@code body}. */
    void answered(Attempt attempt, HttpResponse head, CompositeByteBuf body);

    /** The answer cannot be used, or broke off. */
    void failed(Attempt attempt, String reason);
  }

  private final Gateway gateway;
  private final Upstream upstream;
  private final UpstreamConnection connection;
  private final Workload workload;
  private final CallerAnswer answer;
  private final boolean streaming;
  private final boolean resumable;
  private final Listener listener;
  private final long sentAt;
  private final long uncached;
  private final double expectedMillis;
  private long firstByteAt = -1;
  private boolean open = true;
  private HttpResponse head;
  private CompositeByteBuf collected;

  /** Counts the send; {@link #send} follows. */
  Attempt(
      Gateway gateway,
      UpstreamConnection connection,
      Workload workload,
      CallerAnswer answer,
      boolean streaming,
      boolean resumable,
      Listener listener) {
    this.gateway = gateway;
    this.connection = connection;
    this.workload = workload;
    this.answer = answer;
    this.streaming = streaming;
    this.resumable = resumable;
    this.listener = listener;
    upstream = connection.upstream();
    sentAt = gateway.now();
    UpstreamLoad load = upstream.load();
    uncached = load.uncachedTokens(workload);
    expectedMillis = load.expectedFirstByteMillis(workload);
    load.onSend(workload, uncached, sentAt);
    loadChanged();
  }

  Upstream upstream() {
    return upstream;
  }

  UpstreamConnection connection() {
    return connection;
  }

  long ageMillis() {
    return gateway.now() - sentAt;
  }

  /** Tells other routers; plain services have no batch whose load they would have to know. */
  private void loadChanged() {
    if (workload.promptTokens() > 0) {
      gateway.loads().changed(upstream.entry().id());
    }
  }

  private void firstByte() {
    if (firstByteAt < 0) {
      firstByteAt = gateway.now();
      upstream.load().onFirstByte(uncached);
      loadChanged();
    }
  }

  /** Ends the bookkeeping of this send. */
  private void close() {
    firstByte();
    if (open) {
      open = false;
      upstream.load().onEnd();
      loadChanged();
    }
    if (collected != null) {
      collected.release();
      collected = null;
    }
  }

  /** Ends the send from this side. */
  void cancel() {
    close();
    connection.cancel();
  }

  // ---------------------------------------------------------------- the upstream's answer

  @Override
  public void onHead(HttpResponse response) {
    head = response;
    readLoad();
    GatewayDialect dialect = gateway.dialect();
    int status = response.status().code();
    if (response.headers().contains(dialect.notRun()) || status == 421) {
      notRun(status);
      return;
    }
    boolean success = status / 100 == 2;
    if (success && !response.headers().contains(dialect.signature())) {
      unusable("an answer without signature");
    } else if (success && streaming) {
      answer.startStream(response, resumable);
    } else if (answer.isBegun()) {
      unusable("status " + status + " to a resumed stream");
    } else {
      collected = ByteBufAllocator.DEFAULT.compositeBuffer();
    }
  }

  private void notRun(int status) {
    // The rest of this answer is of no use, and a new connection costs less than its handling.
    cancel();
    if (status == 421) {
      gateway.upstreams().markWrongAddress(upstream);
    } else {
      upstream.load().onFailure(gateway.now());
    }
    listener.notRun(this, status);
  }

  private void readLoad() {
    String value = head.headers().get(gateway.dialect().load());
    if (value == null) {
      return;
    }
    try {
      List<String> f = COMMA.splitToList(value);
      upstream
          .load()
          .onReport(
              Integer.parseInt(f.get(0)),
              Integer.parseInt(f.get(1)),
              Integer.parseInt(f.get(2)),
              gateway.now());
    } catch (IndexOutOfBoundsException | NumberFormatException e) {
      logger.atInfo().atMostEvery(10, TimeUnit.SECONDS).log(
          "upstream: %s reports the load %s", upstream.entry().id(), value);
    }
  }

  @Override
  public void onBody(ByteBuf bytes) {
    firstByte();
    if (collected == null) {
      answer.passEvents(bytes);
      return;
    }
    if (collected.readableBytes() + bytes.readableBytes() > MAX_COLLECTED_BYTES) {
      answer.passPart(head, collected);
      answer.passPart(head, bytes.retain());
      collected = ByteBufAllocator.DEFAULT.compositeBuffer();
      return;
    }
    collected.addComponent(true, bytes.retain());
  }

  @Override
  public void onReadComplete() {
    if (answer.isBegun()) {
      connection.setReading(answer.flush());
    }
  }

  @Override
  public void onEnd() {
    if (!open) {
      return;
    }
    long now = gateway.now();
    if (head.status().code() >= 500) {
      upstream.load().onFailure(now);
    } else {
      firstByte();
      upstream.load().onSuccess((firstByteAt - sentAt) / expectedMillis, now);
    }
    if (collected == null) {
      answer.endStream();
      close();
      listener.passedOn(this);
      return;
    }
    CompositeByteBuf body = collected;
    collected = null;
    close();
    if (answer.isBegun()) {
      answer.endParts(body);
      listener.passedOn(this);
    } else {
      listener.answered(this, head, body);
    }
  }

  @Override
  public void onBroken(String reason, boolean silent) {
    if (silent) {
      upstream.load().onUnreachable(gateway.now());
    } else {
      upstream.load().onFailure(gateway.now());
    }
    close();
    listener.failed(this, reason);
  }

  private void unusable(String reason) {
    upstream.load().onFailure(gateway.now());
    cancel();
    listener.failed(this, reason);
  }
}
