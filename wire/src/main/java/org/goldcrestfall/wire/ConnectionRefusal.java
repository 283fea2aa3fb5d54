package org.goldcrestfall.wire;

import com.google.common.base.Ascii;

/** The reason for which this side closed a connection because of what the peer sent. */
public enum ConnectionRefusal {
  /** The envelope has another protocol version. */
  BAD_VERSION,
  /** The checksum does not match the body. */
  BAD_CHECKSUM,
  /** The length prefix is negative or exceeds the limit. */
  OVERSIZE,
  /** The peer belongs to another cluster. */
  WRONG_CLUSTER,
  /** The proof is invalid or missing, or the sender host is not the authenticated one. */
  UNAUTHENTICATED,
  /** The frame is not a protobuf envelope with a valid body, or is not expected at this point. */
  MALFORMED;

  /** Returns the label for metrics, in lower snake case. */
  public String code() {
    return Ascii.toLowerCase(name());
  }
}
