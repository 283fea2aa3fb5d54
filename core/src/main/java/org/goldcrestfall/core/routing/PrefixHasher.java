package org.goldcrestfall.core.routing;

import static java.nio.charset.StandardCharsets.UTF_8;

import com.google.common.hash.HashFunction;
import com.google.common.hash.Hashing;
import com.google.common.io.BaseEncoding;
import com.google.common.primitives.Longs;
import java.util.ArrayList;
import java.util.List;

/**
 * Identifies the prefixes of a prompt by hashes. The prompt is cut into blocks of {@link
 * #BLOCK_BYTES}, and the hash of a block covers the block and all blocks before it (murmur3_128,
 * first 64 bits). Equal hashes therefore mean equal prefixes up to the end of the block. An
 * incomplete last block has no hash.
 */
public final class PrefixHasher {

  /** Length of a block, about 64 tokens of English text. */
  public static final int BLOCK_BYTES = 256;

  /** Number of tokens that a block is assumed to hold. */
  public static final int BLOCK_TOKENS = 64;

  /** Maximum number of hashed blocks, which bounds the work and memory of a request. */
  public static final int MAX_BLOCKS = 256;

  private static final HashFunction HASH = Hashing.murmur3_128(0x70726678);

  private PrefixHasher() {}

  /** Returns the hashes of the complete blocks of a prompt, shortest prefix first. */
  public static List<Long> hash(String model, String prompt) {
    byte[] bytes = prompt.getBytes(UTF_8);
    int blocks = Math.min(bytes.length / BLOCK_BYTES, MAX_BLOCKS);
    List<Long> hashes = new ArrayList<>(blocks);
    long previous = HASH.hashString(model, UTF_8).asLong();
    for (int i = 0; i < blocks; i++) {
      previous =
          HASH.newHasher()
              .putLong(previous)
              .putBytes(bytes, i * BLOCK_BYTES, BLOCK_BYTES)
              .hash()
              .asLong();
      hashes.add(previous);
    }
    return hashes;
  }

  /** Formats a hash as in cache events: 16 lower-case hexadecimal digits. */
  public static String format(long hash) {
    return BaseEncoding.base16().lowerCase().encode(Longs.toByteArray(hash));
  }

  /**
   * Parses a hash in the form of {@link #format}.
   *
   * @throws IllegalArgumentException if the text has another form
   */
  public static long parse(String text) {
    byte[] bytes = BaseEncoding.base16().lowerCase().decode(text);
    return Longs.fromByteArray(bytes);
  }
}
