package org.goldcrestfall.core.gateway;

/** Thrown if a configuration is invalid; the message states the reason in one sentence. */
public final class InvalidConfigurationException extends Exception {

  /** Creates an exception with the reason. */
  public InvalidConfigurationException(String message) {
    super(message);
  }
}
