package org.goldcrestfall.daemon.settings;

import java.util.List;

/** The settings cannot be used; each fault is one line with path, value and what is expected. */
public final class SettingsException extends Exception {

  private final List<String> faults;

  /** Creates the exception. */
  public SettingsException(List<String> faults) {
    super(String.join("\n", faults));
    this.faults = List.copyOf(faults);
  }

  /** Returns the faults, one line each. */
  public List<String> faults() {
    return faults;
  }
}
