package org.goldcrestfall.daemon.gateway;

import static com.google.common.base.Preconditions.checkArgument;

import com.google.common.base.Splitter;
import com.google.common.flogger.FluentLogger;
import io.netty.buffer.ByteBuf;
import io.netty.buffer.ByteBufAllocator;
import io.netty.buffer.CompositeByteBuf;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpResponse;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import org.goldcrestfall.core.dispatch.RequestSize;
import org.goldcrestfall.core.dispatch.UpstreamLoad;
import org.goldcrestfall.core.limit.FragmentLimit;
import org.goldcrestfall.core.limit.StatedLimit;
import org.goldcrestfall.core.quarantine.AnswerProgress;
import org.goldcrestfall.core.quarantine.QuarantineView;

/**
 * One attempt to send a request to an upstream, with the response to it. It updates the upstream's
 * load and notifies its listener of the outcome. Confined to the event loop.
 */
final class Attempt implements UpstreamConnection.Receiver {

  private static final FluentLogger logger = FluentLogger.forEnclosingClass();
  private static final Splitter COMMA = Splitter.on(',').trimResults().omitEmptyStrings();

  /** A response that is not a stream is buffered up to this size before it is forwarded. */
  private static final int MAX_BUFFERED_BODY_BYTES = 262_144;

  /** Is notified of the outcome: exactly one method is called, unless the attempt is cancelled. */
  interface Listener {

    /** The upstream has stated that it did not run the request. */
    void onNotRun(Attempt attempt, int status);

    /** The complete response has arrived and was forwarded to the caller. */
    void onForwarded(Attempt attempt);

    /** The complete response has arrived, to be forwarded; the listener owns {@code body}. */
    void onResponse(Attempt attempt, HttpResponse head, CompositeByteBuf body);

    /** The response cannot be used, or the connection failed before its end. */
    void onFailure(Attempt attempt, String reason);
  }

  private final Gateway gateway;
  private final Upstream upstream;
  private final UpstreamConnection connection;
  private final String requestId;
  private final RequestSize requestSize;
  private final CallerResponse callerResponse;
  private final boolean streaming;
  private final boolean resumable;
  private final Listener listener;
  private final long sentAtMillis;
  private final long eventsBefore;
  private final long uncachedTokens;
  private final double expectedFirstByteMillis;
  private long firstByteAtMillis = -1;
  private long lastByteAtMillis = -1;
  private boolean open = true;
  private QuarantineView knownView = QuarantineView.EMPTY;

  /** The progress at which this answer shows that one of its suspect parts is sound. */
  private Optional<AnswerProgress> soundAfter = Optional.empty();

  private HttpResponse head;
  private final FragmentLimit fragments = new FragmentLimit();
  private BodyBuffer bufferedBody;

  /** Adds the request to the load of the upstream; the caller then sends it on the connection. */
  Attempt(
      Gateway gateway,
      UpstreamConnection connection,
      String requestId,
      RequestSize requestSize,
      CallerResponse callerResponse,
      boolean streaming,
      boolean resumable,
      Listener listener) {
    this.gateway = gateway;
    this.connection = connection;
    this.requestId = requestId;
    this.requestSize = requestSize;
    this.callerResponse = callerResponse;
    this.streaming = streaming;
    this.resumable = resumable;
    this.listener = listener;
    upstream = connection.upstream();
    sentAtMillis = gateway.now();
    eventsBefore = callerResponse.events();
    UpstreamLoad load = upstream.load();
    uncachedTokens = load.uncachedTokens(requestSize);
    expectedFirstByteMillis = load.expectedFirstByteMillis(requestSize);
    load.onSend(requestSize, uncachedTokens, sentAtMillis);
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

  /** Returns the number of complete events that this attempt has forwarded. */
  long events() {
    return callerResponse.events() - eventsBefore;
  }

  /** Publishes the load of an engine to other routers; plain services do not batch requests. */
  private void publishLoad() {
    if (requestSize.hasPrompt()) {
      gateway.loadSynchronizer().markChanged();
    }
  }

  private void recordFirstByte() {
    if (firstByteAtMillis < 0) {
      firstByteAtMillis = gateway.now();
      upstream.load().onFirstByte(uncachedTokens);
      publishLoad();
    }
  }

  /** Removes the request from the load of the upstream and releases the buffered body. */
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

  /** Cancels the attempt without notifying the listener. */
  void cancel() {
    recordEnd();
    connection.cancel();
  }

  @Override
  public void onHead(HttpResponse response) {
    head = response;
    readReportedLoad();
    readRateLimit();
    GatewayHeaderNames headerNames = gateway.headerNames();
    int status = response.status().code();
    if (response.headers().contains(headerNames.notRun()) || status == 421) {
      notRun(status);
      return;
    }
    boolean success = status / 100 == 2;
    if (success && !response.headers().contains(headerNames.signature())) {
      rejectResponse("the response has no signature");
    } else if (success && streaming) {
      if (!callerResponse.startStream(response, resumable)) {
        rejectResponse(
            "status "
                + status
                + " and type "
                + response.headers().get(HttpHeaderNames.CONTENT_TYPE)
                + " in response to a resumed stream");
      }
    } else if (callerResponse.isCommitted()) {
      rejectResponse("status " + status + " in response to a resumed stream");
    } else {
      bufferedBody = new BodyBuffer(ByteBufAllocator.DEFAULT);
    }
  }

  private void notRun(int status) {
    // The rest of the response is not needed, and a new connection costs less than reading it.
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
      List<String> fields = COMMA.splitToList(value);
      upstream
          .load()
          .onReport(
              Integer.parseInt(fields.get(0)),
              Integer.parseInt(fields.get(1)),
              Integer.parseInt(fields.get(2)),
              gateway.now());
    } catch (IndexOutOfBoundsException | NumberFormatException e) {
      logger.atInfo().atMostEvery(10, TimeUnit.SECONDS).log(
          "upstream: %s sent a malformed load header: %s", upstream.entry().id(), value);
    }
  }

  private void readRateLimit() {
    String value = head.headers().get(gateway.headerNames().rateLimit());
    if (value == null && head.status().code() / 100 != 2) {
      // Only a regular answer without a limit shows that there is none any more.
      return;
    }
    double before = upstream.load().limit().requestsPerSecond();
    double rate = before;
    try {
      double parsed = value == null ? StatedLimit.UNLIMITED : Double.parseDouble(value);
      checkArgument(parsed >= 0);
      rate = parsed;
    } catch (IllegalArgumentException e) {
      logger.atInfo().atMostEvery(10, TimeUnit.SECONDS).log(
          "upstream: %s stated the limit %s, expected a number from 0 on",
          upstream.entry().id(), value);
    }
    if (rate != before) {
      logger.atInfo().log(
          "upstream: %s takes %s requests a second, %s before",
          upstream.entry().id(), rate, before);
    }
    StatedLimit stated = new StatedLimit(rate, gateway.now());
    upstream.load().setLimit(stated);
    if (rate != before && !stated.isLimited()) {
      gateway.rateLimiter().onLimitLifted(upstream, stated);
    }
  }

  @Override
  public void onBody(ByteBuf bytes) {
    recordFirstByte();
    if (!fragments.onPart(bytes.readableBytes())) {
      rejectResponse("the body is sent in too many small parts");
      return;
    }
    if (bufferedBody == null) {
      boolean accepted = callerResponse.forwardEvents(bytes);
      onWritten();
      if (!accepted) {
        rejectResponse("an event is longer than " + EventScanner.MAX_EVENT_BYTES + " bytes");
      }
      return;
    }
    onWritten();
    if (bufferedBody.size() + bytes.readableBytes() > MAX_BUFFERED_BODY_BYTES) {
      if (Exchange.isTakenForNotRun(head.status().code())) {
        rejectResponse("status " + head.status().code() + " with a long body");
        return;
      }
      callerResponse.forwardPart(head, bufferedBody.take());
      callerResponse.forwardPart(head, bytes.retain());
      return;
    }
    bufferedBody.append(bytes);
  }

  private void onWritten() {
    lastByteAtMillis = gateway.now();
    QuarantineView view = gateway.quarantine().view();
    if (view != knownView) {
      knownView = view;
      soundAfter = view.soundAfter(upstream.entry().service(), requestSize);
    }
    if (soundAfter.isEmpty()) {
      return;
    }
    Optional<AnswerProgress> progress = progress();
    if (progress.isPresent() && progress.get().reaches(soundAfter.get())) {
      gateway.quarantine().onWritten(upstream, requestSize, progress.get());
      soundAfter = Optional.empty();
    }
  }

  /** Returns how far the answer was written; empty if no part of it has arrived. */
  private Optional<AnswerProgress> progress() {
    boolean begun = lastByteAtMillis >= 0 && (!streaming || events() > 0);
    return begun
        ? Optional.of(new AnswerProgress(lastByteAtMillis - firstByteAtMillis, events()))
        : Optional.empty();
  }

  /** Returns the bytes of a response that is not a stream. */
  int bufferedBytes() {
    return bufferedBody == null ? 0 : bufferedBody.size();
  }

  /**
   * Forwards what has arrived of a successful response, which can then not be retried any more. Any
   * other response is given up.
   */
  void shedBufferedBytes() {
    if (bufferedBody == null || head.status().code() / 100 != 2) {
      rejectResponse("too many bytes of responses are in memory");
      return;
    }
    callerResponse.forwardPart(head, bufferedBody.take());
    connection.setReading(callerResponse.flush());
  }

  @Override
  public void onReadComplete() {
    callerResponse.responseBytesHeld();
    if (callerResponse.isCommitted()) {
      connection.setReading(callerResponse.flush());
    }
  }

  @Override
  public void onEnd() {
    if (!open) {
      return;
    }
    // An upstream that breaks off may close its connection in the same way as after the end.
    if (bufferedBody == null && callerResponse.hasIncompleteEvent()) {
      onFailure("the stream ended inside an event", false);
      return;
    }
    if (bufferedBody == null && events() == 0 && !ResponseHeads.hasDefinedLength(head)) {
      onFailure("the stream ended before its first event", false);
      return;
    }
    long now = gateway.now();
    if (head.status().code() >= 500) {
      upstream.load().onFailure(now);
    } else {
      recordFirstByte();
      upstream.load().onSuccess((firstByteAtMillis - sentAtMillis) / expectedFirstByteMillis, now);
    }
    if (head.status().code() / 100 == 2) {
      gateway
          .quarantine()
          .onEnded(upstream, requestId, requestSize, progress().orElse(AnswerProgress.BEGUN));
    }
    if (bufferedBody == null) {
      callerResponse.endStream();
      recordEnd();
      listener.onForwarded(this);
      return;
    }
    CompositeByteBuf body = bufferedBody.take();
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
  public void onFailure(String reason, boolean noBytesReceived) {
    if (noBytesReceived) {
      upstream.load().onUnreachable(gateway.now());
    } else {
      upstream.load().onFailure(gateway.now());
    }
    gateway.quarantine().onLost(upstream, requestId, requestSize, progress());
    recordEnd();
    listener.onFailure(this, reason);
  }

  private void rejectResponse(String reason) {
    upstream.load().onFailure(gateway.now());
    cancel();
    listener.onFailure(this, reason);
  }
}
