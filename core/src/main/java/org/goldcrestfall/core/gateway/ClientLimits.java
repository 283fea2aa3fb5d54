package org.goldcrestfall.core.gateway;

/** Bounds on what a caller may send and how long it may take. */
public record ClientLimits(
    int maxHeaderBytes, int maxBodyBytes, int headerTimeoutMillis, int idleTimeoutMillis) {

  /** The limits until a configuration is known. */
  public static final ClientLimits DEFAULT = new ClientLimits(16_384, 4_194_304, 3_000, 15_000);
}
