package org.goldcrestfall.daemon.control;

/**
 * Thrown if a command may have been committed or may still be. Commands are idempotent: a command
 * that is submitted again returns the reply to the first one.
 */
public final class UnknownOutcomeException extends RuntimeException {

  /**
   * Creates an exception.
   *
   * @param message one sentence that says why the outcome is unknown
   */
  public UnknownOutcomeException(String message) {
    super(message, null, false, false);
  }
}
