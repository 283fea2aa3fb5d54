package org.goldcrestfall.core.gateway;

/** Limits on the size of a caller's request and on the time that a caller may take. */
public record ClientLimits(
    int maxHeaderBytes, int maxBodyBytes, int headerTimeoutMillis, int idleTimeoutMillis) {

  /** The limits that apply until a configuration is known. */
  public static final ClientLimits DEFAULT = new ClientLimits(16_384, 4_194_304, 3_000, 15_000);
}
