package org.goldcrestfall.wire;

import com.google.common.base.Ascii;

/** Why a connection was closed by this side because of what the other side sent. */
public enum Refusal {
  /** The envelope has another version. */
  BAD_VERSION,
  /** The checksum does not match the body. */
  BAD_CHECKSUM,
  /** The length prefix is negative or over the limit. */
  OVERSIZE,
  /** The other side belongs to another cluster. */
  WRONG_CLUSTER,
  /** The proof is wrong or missing, or the envelope names a host other than the proven one. */
  UNAUTHENTICATED,
  /** The frame is not a protobuf envelope with a body, or is not expected at this point. */
  MALFORMED;

  /** Returns the label for metrics, in lower snake case. */
  public String code() {
    return Ascii.toLowerCase(name());
  }
}
