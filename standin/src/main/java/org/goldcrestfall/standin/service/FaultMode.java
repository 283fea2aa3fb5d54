package org.goldcrestfall.standin.service;

/** The faults that the stand-in service can inject. */
public enum FaultMode {
  /** Calls run and get a response. */
  NONE,
  /** Calls run, then the connection is closed without a response. */
  DROP,
  /** Calls are refused with 503 and do not run. */
  REFUSE
}
