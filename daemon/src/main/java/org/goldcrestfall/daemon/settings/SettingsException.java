package org.goldcrestfall.daemon.settings;

import java.util.List;

/**
 * Signals invalid settings. Each error is one line with the path, the value and what is expected.
 */
public final class SettingsException extends Exception {

  private final List<String> errors;

  /** Creates an exception whose message consists of all errors. */
  public SettingsException(List<String> errors) {
    super(String.join("\n", errors));
    this.errors = List.copyOf(errors);
  }

  /** Returns the errors, one line each. */
  public List<String> errors() {
    return errors;
  }
}
