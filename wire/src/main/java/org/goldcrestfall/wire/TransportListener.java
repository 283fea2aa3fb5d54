package org.goldcrestfall.wire;

/** Observes a transport, for metrics. Methods run on I/O threads and must not block. */
public interface TransportListener {

  /** A listener that does nothing. */
  TransportListener NONE = new TransportListener() {};

  /** A connection was closed because of what the other side sent. */
  default void refused(Refusal refusal) {}

  /** A message was dropped because there was no connection or the send buffer was full. */
  default void dropped(String address) {}

  /** A frame of {@code bytes}, length prefix included, was handed to the socket. */
  default void sent(int bytes) {}

  /** A frame of {@code bytes}, length prefix included, was received. */
  default void received(int bytes) {}
}
