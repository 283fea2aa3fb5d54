package org.goldcrestfall.core.common;

/** A failure with its kind and one sentence for the caller. It carries no stack trace. */
public final class RequestFailure extends RuntimeException {

  private final ErrorKind kind;

  /** Creates a failure of {@code kind} with one sentence for the caller. */
  public RequestFailure(ErrorKind kind, String message) {
    super(message, null, false, false);
    this.kind = kind;
  }

  /** Returns the kind. */
  public ErrorKind kind() {
    return kind;
  }
}
