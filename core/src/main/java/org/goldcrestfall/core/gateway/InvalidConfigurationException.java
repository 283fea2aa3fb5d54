package org.goldcrestfall.core.gateway;

/** A configuration that must not come into force, with the reason in one sentence. */
public final class InvalidConfigurationException extends Exception {

  /** Creates the exception. */
  public InvalidConfigurationException(String message) {
    super(message);
  }
}
