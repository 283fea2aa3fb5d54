package org.goldcrestfall.wire;

import java.io.IOException;

/**
 * Thrown if the peer received a message but has no handler for it, its handler failed, or the reply
 * is too long for a frame.
 */
public final class RemoteFailure extends IOException {

  private final String kind;

  /** Creates a failure with the kind and message that the peer reported. */
  public RemoteFailure(String kind, String message) {
    super(message);
    this.kind = kind;
  }

  /** Returns the kind of failure that the peer reported. */
  public String kind() {
    return kind;
  }
}
