package org.goldcrestfall.standin.bench;

import java.util.ArrayList;
import java.util.List;
import org.apache.commons.rng.UniformRandomProvider;
import org.apache.commons.rng.simple.RandomSource;
import org.goldcrestfall.core.routing.PrefixHasher;

/**
 * Generates a trace with Poisson arrivals: four quick questions to one patient review. Prompts
 * start with the text of one of many documents, popular ones more often, and end with text of their
 * own.
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

  /** Returns the requests of {@code millis} at a mean rate. */
  static List<BenchRequest> generate(double perSecond, long millis, int routers, long seed) {
    WorkloadGenerator w = new WorkloadGenerator(seed);
    List<BenchRequest> requests = new ArrayList<>();
    double at = 0;
    while (true) {
      at += -Math.log(1 - w.random.nextDouble()) * 1_000 / perSecond;
      if (at >= millis) {
        return requests;
      }
      requests.add(w.request("r" + requests.size(), (long) at, w.random.nextInt(routers)));
    }
  }

  private BenchRequest request(String id, long at, int router) {
    List<Long> prefix = new ArrayList<>();
    boolean quick = random.nextDouble() < QUICK_SHARE;
    int shared = zipf(quick ? WORKSPACES : DOCUMENTS);
    int blocks = quick ? 4 : documentBlocks[shared];
    for (int i = 0; i < blocks; i++) {
      prefix.add((quick ? 1_000_000L : 2_000_000L) + shared * 1_000L + i);
    }
    int own = 1 + random.nextInt(4);
    for (int i = 0; i < own; i++) {
      prefix.add(nextUniqueHash++);
    }
    int tokens = prefix.size() * PrefixHasher.BLOCK_TOKENS + random.nextInt(64);
    double spread = -Math.log(1 - random.nextDouble());
    int output =
        (int) (quick ? 10 + Math.min(200, spread * 50) : 100 + Math.min(800, spread * 250));
    return new BenchRequest(
        id,
        quick ? BenchPatienceClass.QUICK : BenchPatienceClass.PATIENT,
        at,
        router,
        prefix,
        tokens,
        output);
  }

  /** Draws an index below {@code n} with a density that falls as 1/x. */
  private int zipf(int n) {
    return (int) Math.min(n - 1, Math.pow(n + 1, random.nextDouble()) - 1);
  }
}
