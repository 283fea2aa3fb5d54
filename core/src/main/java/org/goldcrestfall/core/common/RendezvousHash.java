package org.goldcrestfall.core.common;

import static com.google.common.base.Preconditions.checkArgument;
import static java.nio.charset.StandardCharsets.UTF_8;

import com.google.common.hash.HashFunction;
import com.google.common.hash.Hasher;
import com.google.common.hash.Hashing;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.function.Function;

/**
 * Rendezvous (highest random weight) hashing with murmur3_128. The order of two nodes for a key
 * does not depend on any third node, so a node that joins or leaves moves only its own keys.
 */
public final class RendezvousHash {

  private static final HashFunction HASH = Hashing.murmur3_128(0x67637266);

  private RendezvousHash() {}

  /** Returns the weight of {@code node} for {@code key}; the highest weight wins. */
  public static long weight(String key, String node) {
    Hasher h = HASH.newHasher();
    // The length separates the two strings, so that ("ab", "c") and ("a", "bc") differ.
    h.putInt(key.length()).putString(key, UTF_8).putString(node, UTF_8);
    return h.hash().asLong();
  }

  /** Returns {@code nodes} in descending order of weight for {@code key}. */
  public static <T> List<T> order(String key, List<T> nodes, Function<T, String> name) {
    record Weighted<T>(T node, String name, long weight) {}

    List<Weighted<T>> list = new ArrayList<>(nodes.size());
    for (T n : nodes) {
      list.add(new Weighted<>(n, name.apply(n), weight(key, name.apply(n))));
    }
    list.sort(
        Comparator.comparingLong((Weighted<T> w) -> w.weight())
            .reversed()
            .thenComparing(w -> w.name));
    return list.stream().map(Weighted::node).toList();
  }

  /** Returns the first {@code count} of {@link #order}, or all nodes if there are fewer. */
  public static <T> List<T> subset(String key, List<T> nodes, Function<T, String> name, int count) {
    checkArgument(count > 0, "count must be positive: %s", count);
    if (nodes.size() <= count) {
      return nodes;
    }
    return order(key, nodes, name).subList(0, count);
  }
}
