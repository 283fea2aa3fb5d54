package org.goldcrestfall.daemon.upstream;

import java.io.IOException;

/** The call certainly did not reach the upstream, so it may be sent elsewhere. */
public final class NotSentException extends IOException {

  /** Creates the exception. */
  public NotSentException(String message, Throwable cause) {
    super(message, cause);
  }
}
