package org.goldcrestfall.wire;

import java.util.concurrent.CompletableFuture;
import org.goldcrestfall.core.common.Incarnation;
import org.goldcrestfall.wire.generated.Body;

/** Sends messages to other daemons and hands received messages to one handler per kind. */
public interface PeerTransport extends AutoCloseable {

  /**
   * Sends a message without waiting for a reply. A message that cannot be sent at once (no
   * connection, full send buffer) is dropped.
   *
   * @param address IP address and port of the peer, as {@code 127.0.0.1:9080}
   */
  void send(String address, Body body);

  /**
   * Sends a message and completes with the reply. Fails with {@link
   * java.util.concurrent.TimeoutException} after {@code timeoutMillis}, with {@link
   * java.net.ConnectException} if no byte was sent, and with {@link java.io.IOException} if the
   * connection broke after the message was written.
   */
  CompletableFuture<Body> call(String address, Body body, long timeoutMillis);

  /** Registers the handler for a kind of message; replaces an earlier one. */
  void handle(Body.KindCase kind, Handler handler);

  /** Sets the incarnation that outgoing messages carry, once the control group has issued it. */
  void identify(Incarnation incarnation);

  @Override
  void close();

  /** Handles a received message. Runs on an I/O thread and must not block. */
  @FunctionalInterface
  interface Handler {

    /**
     * Returns the reply to a call. For a message without a call id the result is ignored; null is
     * allowed there.
     *
     * @param sender the incarnation that the sender claims, with its authenticated host name
     */
    CompletableFuture<Body> handle(Incarnation sender, Body body);
  }
}
