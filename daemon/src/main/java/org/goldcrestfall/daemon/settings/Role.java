package org.goldcrestfall.daemon.settings;

import com.google.common.base.Ascii;

/** A role of a daemon; a daemon may have several. */
public enum Role {
  /** Serves requests of callers. */
  ROUTER,
  /** Is a member of the control group. */
  CONTROL;

  /** Returns the name used in the settings file. */
  public String settingName() {
    return Ascii.toLowerCase(name());
  }
}
