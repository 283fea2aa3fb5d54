package org.goldcrestfall.wire;

import static java.nio.charset.StandardCharsets.UTF_8;

import com.google.common.hash.Hasher;
import com.google.common.hash.Hashing;
import java.security.MessageDigest;

/**
 * The transcript of a handshake, from which each side of a connection computes the proof that it
 * has the shared key: HMAC-SHA256 (RFC 2104) over the side, the cluster, both nonces and both host
 * names. The side is part of the input, so that a proof reflected to its sender does not verify.
 * Each field is preceded by its length, so that no two inputs have the same encoding.
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

  byte[] computeProof(byte[] key, Side side) {
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
    return MessageDigest.isEqual(computeProof(key, side), proof);
  }

  private static void put(Hasher h, byte[] bytes) {
    h.putInt(bytes.length).putBytes(bytes);
  }
}
