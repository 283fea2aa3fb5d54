package org.goldcrestfall.wire;

import java.util.concurrent.CompletableFuture;
import org.goldcrestfall.core.common.Incarnation;
import org.goldcrestfall.wire.generated.Body;

/** Sends messages to other daemons and dispatches received messages to one handler per kind. */
public interface PeerTransport extends AutoCloseable {

  /**
   * Sends a message without waiting for a reply. A message that cannot be written at once, because
   * there is no connection or the send buffer is full, is dropped.
   *
   * @param address IP address and port of the peer, such as {@code 127.0.0.1:9080}
   */
  void send(String address, Body body);

  /**
   * Sends a message and completes with the reply. Fails with {@link java.net.ConnectException} if
   * the message was not written, so that the peer cannot have received it. Fails with {@link
   * java.util.concurrent.TimeoutException} if the message was written but the reply did not arrive
   * within {@code timeoutMillis}, and with {@link java.io.IOException} if the connection was lost
   * after the message was written. Fails with {@link RemoteFailure} if the peer replied with a
   * failure.
   */
  CompletableFuture<Body> call(String address, Body body, long timeoutMillis);

  /** Registers the handler for a kind of message, in place of any earlier one. */
  void registerHandler(Body.KindCase kind, Handler handler);

  /** Sets the incarnation that the control group has issued; outgoing messages carry it. */
  void setIncarnation(Incarnation incarnation);

  @Override
  void close();

  /** Handles a received message. Runs on an I/O thread and must not block. */
  @FunctionalInterface
  interface Handler {

    /**
     * Handles a message and returns the reply. The result is ignored, and may be null, if the
     * message is not a call.
     *
     * @param sender the authenticated host name with the boot number that the sender states
     */
    CompletableFuture<Body> handle(Incarnation sender, Body body);
  }
}
