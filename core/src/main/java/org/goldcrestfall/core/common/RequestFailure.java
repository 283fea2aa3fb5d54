package org.goldcrestfall.core.common;

/** The failure of a request, with its kind and a one-sentence message. It has no stack trace. */
public final class RequestFailure extends RuntimeException {

  private final ErrorKind kind;

  /** Creates a failure of {@code kind} with a one-sentence message for the caller. */
  public RequestFailure(ErrorKind kind, String message) {
    super(message, null, false, false);
    this.kind = kind;
  }

  /** Returns the kind of the failure. */
  public ErrorKind kind() {
    return kind;
  }
}
