package org.goldcrestfall.core.control;

import com.google.common.hash.HashCode;
import com.google.common.hash.Hashing;
import com.google.common.io.BaseEncoding;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.List;

/**
 * A bounded set of (workspace, id) pairs, stored as 128-bit hashes in two generations. When the
 * current generation is full, the older one is dropped, so the set contains at least the newest
 * {@code generationSize} pairs. Each stored hash takes 16 bytes in a table that is at most half
 * full. The hash is not keyed because ids are chosen by authenticated callers of the same
 * workspace.
 */
final class DigestSet {

  private static final int DIGEST_BYTES = 16;

  private final int generationSize;
  private final long[][] tables = new long[2][];
  private final int[] sizes = new int[2];

  /** The index of the generation to which pairs are added. */
  private int current;

  DigestSet(int generationSize) {
    this.generationSize = generationSize;
    tables[0] = new long[2 * DIGEST_BYTES];
    tables[1] = new long[2 * DIGEST_BYTES];
  }

  /** Adds a pair and returns whether it was absent. */
  boolean add(String workspace, String id) {
    long[] hash = hash(workspace, id);
    if (contains(hash)) {
      return false;
    }
    insert(hash);
    return true;
  }

  boolean contains(String workspace, String id) {
    return contains(hash(workspace, id));
  }

  private boolean contains(long[] hash) {
    return freeSlot(tables[0], hash) < 0 || freeSlot(tables[1], hash) < 0;
  }

  private void insert(long[] hash) {
    if (sizes[current] == generationSize) {
      current = 1 - current;
      sizes[current] = 0;
      tables[current] = new long[2 * DIGEST_BYTES];
    }
    if (4 * (sizes[current] + 1) > tables[current].length) {
      long[] old = tables[current];
      tables[current] = new long[2 * old.length];
      for (int i = 0; i < old.length; i += 2) {
        if (old[i] != 0) {
          put(tables[current], new long[] {old[i], old[i + 1]});
        }
      }
    }
    put(tables[current], hash);
    sizes[current]++;
  }

  private static void put(long[] table, long[] hash) {
    int i = freeSlot(table, hash);
    table[i] = hash[0];
    table[i + 1] = hash[1];
  }

  /** Returns the index of the free slot for the hash, or -1 if the table contains the hash. */
  private static int freeSlot(long[] table, long[] hash) {
    int mask = table.length / 2 - 1;
    for (int i = (int) hash[1] & mask; ; i = (i + 1) & mask) {
      if (table[2 * i] == 0) {
        return 2 * i;
      }
      if (table[2 * i] == hash[0] && table[2 * i + 1] == hash[1]) {
        return -1;
      }
    }
  }

  private static long[] hash(String workspace, String id) {
    HashCode code =
        Hashing.murmur3_128()
            .newHasher()
            .putString(workspace, StandardCharsets.UTF_8)
            .putByte((byte) 0)
            .putString(id, StandardCharsets.UTF_8)
            .hash();
    ByteBuffer b = ByteBuffer.wrap(code.asBytes());
    long first = b.getLong();
    // A first half of 0 marks a free slot.
    return new long[] {first == 0 ? 1 : first, b.getLong()};
  }

  /** Returns the hashes of the older and the current generation in Base64. */
  List<String> save() {
    return List.of(save(1 - current), save(current));
  }

  private String save(int generation) {
    ByteBuffer b = ByteBuffer.allocate(sizes[generation] * DIGEST_BYTES);
    long[] table = tables[generation];
    for (int i = 0; i < table.length; i += 2) {
      if (table[i] != 0) {
        b.putLong(table[i]).putLong(table[i + 1]);
      }
    }
    return BaseEncoding.base64().encode(b.array());
  }

  void restore(List<String> saved) {
    for (int g = 0; g < 2; g++) {
      ByteBuffer b = ByteBuffer.wrap(BaseEncoding.base64().decode(saved.get(g)));
      int n = b.remaining() / DIGEST_BYTES;
      tables[g] =
          new long[Math.max(2 * DIGEST_BYTES, 4 * Integer.highestOneBit(Math.max(1, 2 * n - 1)))];
      while (b.hasRemaining()) {
        put(tables[g], new long[] {b.getLong(), b.getLong()});
      }
      sizes[g] = n;
    }
    current = 1;
  }
}
