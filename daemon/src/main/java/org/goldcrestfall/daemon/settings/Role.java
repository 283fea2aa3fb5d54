package org.goldcrestfall.daemon.settings;

import com.google.common.base.Ascii;

/** What a daemon does. */
public enum Role {
  /** Serves callers. */
  ROUTER,
  /** Is a member of the control group. */
  CONTROL;

  /** Returns the name used in the settings file. */
  public String code() {
    return Ascii.toLowerCase(name());
  }
}
