package org.goldcrestfall.standin.bench;

import java.util.ArrayList;
import java.util.List;
import org.apache.commons.rng.UniformRandomProvider;
import org.apache.commons.rng.simple.RandomSource;
import org.goldcrestfall.core.routing.PrefixHasher;

/**
 * Generates a trace with Poisson arrivals, with four quick requests for each patient one. Each
 * prompt starts with a prefix that other prompts share: that of a workspace for quick requests, and
 * a document for patient ones. The popularity of prefixes follows Zipf's law. The rest of the
 * prompt is unique.
 */
final class WorkloadGenerator {

  private static final int DOCUMENTS = 120;
  private static final int WORKSPACES = 10;
  private static final double QUICK_SHARE = 0.8;

  private final UniformRandomProvider random;
  private final int[] documentBlocks = new int[DOCUMENTS];
  private long nextUniqueHash = 1L << 40;

  private WorkloadGenerator(long seed) {
    random = RandomSource.XO_RO_SHI_RO_128_PP.create(seed);
    for (int i = 0; i < DOCUMENTS; i++) {
      documentBlocks[i] = 16 + random.nextInt(64);
    }
  }

  /** Returns the requests of the first {@code durationMillis} at a mean rate. */
  static List<BenchRequest> generate(
      double requestsPerSecond, long durationMillis, int routerCount, long seed) {
    WorkloadGenerator generator = new WorkloadGenerator(seed);
    List<BenchRequest> requests = new ArrayList<>();
    double atMillis = 0;
    while (true) {
      atMillis += -Math.log(1 - generator.random.nextDouble()) * 1_000 / requestsPerSecond;
      if (atMillis >= durationMillis) {
        return requests;
      }
      requests.add(
          generator.nextRequest(
              "r" + requests.size(), (long) atMillis, generator.random.nextInt(routerCount)));
    }
  }

  private BenchRequest nextRequest(String id, long arrivalMillis, int routerIndex) {
    List<Long> prefixHashes = new ArrayList<>();
    boolean quick = random.nextDouble() < QUICK_SHARE;
    int prefixIndex = zipf(quick ? WORKSPACES : DOCUMENTS);
    int sharedBlocks = quick ? 4 : documentBlocks[prefixIndex];
    for (int i = 0; i < sharedBlocks; i++) {
      prefixHashes.add((quick ? 1_000_000L : 2_000_000L) + prefixIndex * 1_000L + i);
    }
    int uniqueBlocks = 1 + random.nextInt(4);
    for (int i = 0; i < uniqueBlocks; i++) {
      prefixHashes.add(nextUniqueHash++);
    }
    int promptTokens = prefixHashes.size() * PrefixHasher.BLOCK_TOKENS + random.nextInt(64);
    double exponential = -Math.log(1 - random.nextDouble());
    int outputTokens =
        (int)
            (quick ? 10 + Math.min(200, exponential * 50) : 100 + Math.min(800, exponential * 250));
    return new BenchRequest(
        id,
        quick ? BenchPatienceClass.QUICK : BenchPatienceClass.PATIENT,
        arrivalMillis,
        routerIndex,
        prefixHashes,
        promptTokens,
        outputTokens);
  }

  /** Draws an index below {@code n} by Zipf's law: the density falls as 1/x. */
  private int zipf(int n) {
    return (int) Math.min(n - 1, Math.pow(n + 1, random.nextDouble()) - 1);
  }
}
