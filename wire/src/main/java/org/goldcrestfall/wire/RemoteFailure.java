package org.goldcrestfall.wire;

import java.io.IOException;

/** The peer received the message and its handler failed, or it has no handler for the kind. */
public final class RemoteFailure extends IOException {

  private final String kind;

  /** Creates a failure of {@code kind} as reported by the peer. */
  public RemoteFailure(String kind, String message) {
    super(message);
    this.kind = kind;
  }

  /** Returns the kind that the peer reported. */
  public String kind() {
    return kind;
  }
}
