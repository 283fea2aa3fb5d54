package org.goldcrestfall.daemon.http;

import com.google.common.hash.Hashing;
import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.util.Base64;
import java.util.Optional;
import org.apache.pekko.http.javadsl.model.HttpRequest;

/** Functions for bearer tokens, API keys and their hashes. */
public final class Secrets {

  private static final String BEARER = "Bearer ";

  private Secrets() {}

  /** Returns the bearer token of a request, or empty if it has none. */
  public static Optional<String> bearerToken(HttpRequest r) {
    return r.getHeader("Authorization")
        .map(h -> h.value())
        .filter(v -> v.regionMatches(true, 0, BEARER, 0, BEARER.length()))
        .map(v -> v.substring(BEARER.length()).trim())
        .filter(v -> !v.isEmpty());
  }

  /** Returns the SHA-256 hash of the UTF-8 bytes of a secret, in lower-case hex. */
  public static String sha256(String secret) {
    return Hashing.sha256().hashString(secret, StandardCharsets.UTF_8).toString();
  }

  /** Returns the SHA-256 hash of the bytes, in lower-case hex. */
  public static String sha256(byte[] bytes) {
    return Hashing.sha256().hashBytes(bytes).toString();
  }

  /** Compares two hashes in a time that does not depend on where they differ. */
  public static boolean constantTimeEquals(String a, String b) {
    return MessageDigest.isEqual(
        a.getBytes(StandardCharsets.UTF_8), b.getBytes(StandardCharsets.UTF_8));
  }

  /**
   * Derives an API key from the shared key of the cluster and the operation that creates it. A
   * resent operation thus returns the same API key, although no daemon stores the key.
   */
  public static String deriveApiKey(String clusterKey, String... operation) {
    byte[] mac =
        Hashing.hmacSha256(clusterKey.getBytes(StandardCharsets.UTF_8))
            .hashString("api-key\0" + String.join("\0", operation), StandardCharsets.UTF_8)
            .asBytes();
    return "gcf_" + Base64.getUrlEncoder().withoutPadding().encodeToString(mac);
  }
}
