package org.goldcrestfall.standin.client;

import java.io.ByteArrayOutputStream;
import java.net.http.HttpResponse;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import java.util.concurrent.Flow;
import java.util.function.Consumer;

/** Splits a response body into lines and passes on the data of each server-sent event. */
public final class EventStreamSubscriber implements HttpResponse.BodySubscriber<Void> {

  private static final String DATA_FIELD = "data:";

  private final Consumer<String> dataConsumer;
  private final CompletableFuture<Void> bodyFuture = new CompletableFuture<>();
  private final ByteArrayOutputStream lineBuffer = new ByteArrayOutputStream(256);
  private Flow.Subscription subscription;

  /** Creates a subscriber that passes the data of each event to {@code dataConsumer}. */
  public EventStreamSubscriber(Consumer<String> dataConsumer) {
    this.dataConsumer = dataConsumer;
  }

  @Override
  public CompletionStage<Void> getBody() {
    return bodyFuture;
  }

  @Override
  public void onSubscribe(Flow.Subscription subscription) {
    this.subscription = subscription;
    subscription.request(Long.MAX_VALUE);
  }

  @Override
  public void onNext(List<ByteBuffer> buffers) {
    try {
      buffers.forEach(this::read);
    } catch (RuntimeException e) {
      subscription.cancel();
      bodyFuture.completeExceptionally(e);
    }
  }

  @Override
  public void onError(Throwable failure) {
    bodyFuture.completeExceptionally(failure);
  }

  @Override
  public void onComplete() {
    bodyFuture.complete(null);
  }

  private void read(ByteBuffer buffer) {
    while (buffer.hasRemaining()) {
      byte next = buffer.get();
      if (next == '\n') {
        processLine(lineBuffer.toString(StandardCharsets.UTF_8));
        lineBuffer.reset();
      } else if (next != '\r') {
        lineBuffer.write(next);
      }
    }
  }

  private void processLine(String text) {
    if (text.startsWith(DATA_FIELD)) {
      dataConsumer.accept(text.substring(DATA_FIELD.length()).strip());
    }
  }
}
