package org.goldcrestfall.core.budget;

/** Result of an attempt to reserve tokens. */
public enum Reservation {
  /** The tokens are reserved. */
  RESERVED,
  /** The allotment does not cover the tokens; a grant or transfer may help. */
  EXHAUSTED,
  /** The allotment covers the tokens, but the watermark must be written first. */
  WATERMARK_PENDING
}
