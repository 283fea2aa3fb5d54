package org.goldcrestfall.daemon.control;

/** A command may or may not have been committed; sending it again gives the first reply. */
public final class UnknownOutcomeException extends RuntimeException {

  /** Creates the exception with one sentence. */
  public UnknownOutcomeException(String message) {
    super(message, null, false, false);
  }
}
