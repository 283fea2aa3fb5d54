package org.goldcrestfall.standin.service;

/** Faults of the stand-in service. */
public enum FaultMode {
  /** Calls run and are answered. */
  NONE,
  /** Calls run, then the connection is closed without an answer. */
  DROP,
  /** Calls are refused with 503 and do not run. */
  REFUSE
}
