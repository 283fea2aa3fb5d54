package org.goldcrestfall.daemon.upstream;

import java.io.IOException;

/**
 * Thrown if a request was certainly not processed by the upstream, because it was not sent or was
 * refused. It may be sent to another upstream.
 */
public final class NotSentException extends IOException {

  /** Creates the exception. */
  public NotSentException(String message, Throwable cause) {
    super(message, cause);
  }
}
