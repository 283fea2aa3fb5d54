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
  private static final int MAX_BUFFERED_BODY_BYTES = 262_144;

  /** Hears how a send ended: exactly one of these is called, unless it is cancelled. */
  interface Listener {

    /** The upstream states that it has not run the request. */
    void onNotRun(Attempt attempt, int status);

    /** The whole answer has come and was passed on. */
    void onForwarded(Attempt attempt);

    /** The whole answer has come and can be passed on; the listener owns {@code body}. */
    void onResponse(Attempt attempt, HttpResponse head, CompositeByteBuf body);

    /** The answer cannot be used, or broke off. */
    void onFailure(Attempt attempt, String reason);
  }

  private final Gateway gateway;
  private final Upstream upstream;
  private final UpstreamConnection connection;
  private final Workload workload;
  private final CallerResponse callerResponse;
  private final boolean streaming;
  private final boolean resumable;
  private final Listener listener;
  private final long sentAtMillis;
  private final long uncachedTokens;
  private final double expectedFirstByteMillis;
  private long firstByteAtMillis = -1;
  private boolean open = true;
  private HttpResponse head;
  private CompositeByteBuf bufferedBody;

  /** Counts the send; {@link #send} follows. */
  Attempt(
      Gateway gateway,
      UpstreamConnection connection,
      Workload workload,
      CallerResponse answer,
      boolean streaming,
      boolean resumable,
      Listener listener) {
    this.gateway = gateway;
    this.connection = connection;
    this.workload = workload;
    this.callerResponse = answer;
    this.streaming = streaming;
    this.resumable = resumable;
    this.listener = listener;
    upstream = connection.upstream();
    sentAtMillis = gateway.now();
    UpstreamLoad load = upstream.load();
    uncachedTokens = load.uncachedTokens(workload);
    expectedFirstByteMillis = load.expectedFirstByteMillis(workload);
    load.onSend(workload, uncachedTokens, sentAtMillis);
    publishLoad();
  }

  Upstream upstream() {
    return upstream;
  }

  UpstreamConnection connection() {
    return connection;
  }

  long ageMillis() {
    return gateway.now() - sentAtMillis;
  }

  /** Tells other routers; plain services have no batch whose load they would have to know. */
  private void publishLoad() {
    if (workload.promptTokens() > 0) {
      gateway.loadSynchronizer().markChanged(upstream.entry().id());
    }
  }

  private void recordFirstByte() {
    if (firstByteAtMillis < 0) {
      firstByteAtMillis = gateway.now();
      upstream.load().onFirstByte(uncachedTokens);
      publishLoad();
    }
  }

  /** Ends the bookkeeping of this send. */
  private void recordEnd() {
    recordFirstByte();
    if (open) {
      open = false;
      upstream.load().onEnd();
      publishLoad();
    }
    if (bufferedBody != null) {
      bufferedBody.release();
      bufferedBody = null;
    }
  }

  /** Ends the send from this side. */
  void cancel() {
    recordEnd();
    connection.cancel();
  }

  // ---------------------------------------------------------------- the upstream's answer

  @Override
  public void onHead(HttpResponse response) {
    head = response;
    readReportedLoad();
    GatewayDialect dialect = gateway.headerNames();
    int status = response.status().code();
    if (response.headers().contains(dialect.notRun()) || status == 421) {
      notRun(status);
      return;
    }
    boolean success = status / 100 == 2;
    if (success && !response.headers().contains(dialect.signature())) {
      rejectResponse("an answer without signature");
    } else if (success && streaming) {
      callerResponse.startStream(response, resumable);
    } else if (callerResponse.isCommitted()) {
      rejectResponse("status " + status + " to a resumed stream");
    } else {
      bufferedBody = ByteBufAllocator.DEFAULT.compositeBuffer();
    }
  }

  private void notRun(int status) {
    // The rest of this answer is of no use, and a new connection costs less than its handling.
    cancel();
    if (status == 421) {
      gateway.upstreams().removeMisdirected(upstream);
    } else {
      upstream.load().onFailure(gateway.now());
    }
    listener.onNotRun(this, status);
  }

  private void readReportedLoad() {
    String value = head.headers().get(gateway.headerNames().load());
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
    recordFirstByte();
    if (bufferedBody == null) {
      callerResponse.forwardEvents(bytes);
      return;
    }
    if (bufferedBody.readableBytes() + bytes.readableBytes() > MAX_BUFFERED_BODY_BYTES) {
      callerResponse.forwardPart(head, bufferedBody);
      callerResponse.forwardPart(head, bytes.retain());
      bufferedBody = ByteBufAllocator.DEFAULT.compositeBuffer();
      return;
    }
    bufferedBody.addComponent(true, bytes.retain());
  }

  @Override
  public void onReadComplete() {
    if (callerResponse.isCommitted()) {
      connection.setReading(callerResponse.flush());
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
      recordFirstByte();
      upstream.load().onSuccess((firstByteAtMillis - sentAtMillis) / expectedFirstByteMillis, now);
    }
    if (bufferedBody == null) {
      callerResponse.endStream();
      recordEnd();
      listener.onForwarded(this);
      return;
    }
    CompositeByteBuf body = bufferedBody;
    bufferedBody = null;
    recordEnd();
    if (callerResponse.isCommitted()) {
      callerResponse.writeLastPart(body);
      listener.onForwarded(this);
    } else {
      listener.onResponse(this, head, body);
    }
  }

  @Override
  public void onFailure(String reason, boolean silent) {
    if (silent) {
      upstream.load().onUnreachable(gateway.now());
    } else {
      upstream.load().onFailure(gateway.now());
    }
    recordEnd();
    listener.onFailure(this, reason);
  }

  private void rejectResponse(String reason) {
    upstream.load().onFailure(gateway.now());
    cancel();
    listener.onFailure(this, reason);
  }
}
