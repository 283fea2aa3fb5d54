package org.goldcrestfall.wire;

/** Observes a transport, for example for metrics. Methods run on I/O threads and must not block. */
public interface TransportListener {

  /** A listener that does nothing. */
  TransportListener NONE = new TransportListener() {};

  /** Called when a connection is closed because of what the peer sent. */
  default void refused(ConnectionRefusal refusal) {}

  /**
   * Called when a message without a reply is dropped, for example because there is no connection or
   * the send buffer is full.
   */
  default void dropped(String address) {}

  /** Called when a frame of {@code bytes}, including its length prefix, is handed to the socket. */
  default void sent(int bytes) {}

  /** Called when a frame of {@code bytes}, including its length prefix, has been received. */
  default void received(int bytes) {}
}
