package org.goldcrestfall.wire;

import static java.nio.charset.StandardCharsets.UTF_8;

import com.google.common.hash.Hasher;
import com.google.common.hash.Hashing;
import java.security.MessageDigest;

/**
 * The proof that a side of a connection has the shared key: HMAC-SHA256 (RFC 2104) over the side,
 * the cluster, both nonces and both host names. The side is part of the input, so a proof that is
 * sent back to its author does not verify. Each field is preceded by its length, so no two inputs
 * have the same encoding.
 */
record Handshake(
    String cluster,
    String initiatorHost,
    byte[] initiatorNonce,
    String acceptorHost,
    byte[] acceptorNonce) {

  static final int NONCE_BYTES = 32;

  enum Side {
    INITIATOR,
    ACCEPTOR
  }

  byte[] prove(byte[] key, Side side) {
    Hasher h = Hashing.hmacSha256(key).newHasher();
    put(h, side.name().getBytes(UTF_8));
    put(h, cluster.getBytes(UTF_8));
    put(h, initiatorHost.getBytes(UTF_8));
    put(h, initiatorNonce);
    put(h, acceptorHost.getBytes(UTF_8));
    put(h, acceptorNonce);
    return h.hash().asBytes();
  }

  boolean verify(byte[] key, Side side, byte[] proof) {
    return MessageDigest.isEqual(prove(key, side), proof);
  }

  private static void put(Hasher h, byte[] bytes) {
    h.putInt(bytes.length).putBytes(bytes);
  }
}
