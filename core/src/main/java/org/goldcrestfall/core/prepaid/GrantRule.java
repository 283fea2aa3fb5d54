package org.goldcrestfall.core.prepaid;

/** Rules by which the ledger grants tokens to waiting requests. */
public enum GrantRule {
  /** As many as are available, though they may not cover a request. */
  PARTS_OF_REQUESTS,
  /**
   * Only what covers whole requests. Tokens that are opened for a request which is then refused
   * would be lost with the router.
   */
  WHOLE_REQUESTS
}
