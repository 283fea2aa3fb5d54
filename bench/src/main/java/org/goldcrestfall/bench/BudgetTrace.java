package org.goldcrestfall.bench;

import com.google.common.hash.Hashing;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import org.apache.commons.rng.UniformRandomProvider;
import org.apache.commons.rng.simple.RandomSource;

/**
 * A trace of requests, top-ups, crashes and one partition, generated from a seed. Times are
 * milliseconds from its start, amounts are tokens.
 */
record BudgetTrace(
    List<Request> requests, List<TopUp> topUps, List<Crash> crashes, Partition partition) {

  static final int ROUTERS = 21;
  static final int WORKSPACES = 10;
  static final int LARGE_WORKSPACES = 3;
  static final int ROUTERS_WITH_DISK = 5;
  static final long LENGTH_MILLIS = 30 * 60_000L;

  private static final double LARGE_REQUESTS_A_SECOND = 25;
  private static final double SMALL_REQUESTS_A_SECOND = 3;
  private static final long PARTITION_START_MILLIS = 10 * 60_000L;
  private static final long PARTITION_END_MILLIS = 20 * 60_000L;
  private static final long CRASH_INTERVAL_MILLIS = 60_000;
  private static final long RESTART_MILLIS = 20_000;
  private static final long TOKEN_MILLIS = 29;

  /** A request: {@code worstCase} is reserved, {@code used} is what it really costs. */
  record Request(
      int id,
      long atMillis,
      int router,
      int workspace,
      long worstCase,
      long used,
      long durationMillis) {}

  /** Tokens paid in; the control group applies them on the side with the quorum. */
  record TopUp(long atMillis, int workspace, long tokens) {}

  /** A router process that dies and is started again. */
  record Crash(long atMillis, long restartMillis, int router) {}

  /** Routers that are cut off from the control group and from all other routers. */
  record Partition(long startMillis, long endMillis, List<Integer> routers) {}

  static BudgetTrace generate(long seed) {
    UniformRandomProvider random = RandomSource.XO_RO_SHI_RO_128_PP.create(seed);
    List<Request> requests = new ArrayList<>();
    long[] demandPerMinute = new long[WORKSPACES];
    for (int w = 0; w < WORKSPACES; w++) {
      double rate = w < LARGE_WORKSPACES ? LARGE_REQUESTS_A_SECOND : SMALL_REQUESTS_A_SECOND;
      double at = 0;
      long used = 0;
      while (at < LENGTH_MILLIS) {
        at += -Math.log(1 - random.nextDouble()) / rate * 1000;
        Request r = request(requests.size(), (long) at, w, random);
        requests.add(r);
        used += r.used();
      }
      demandPerMinute[w] = used * 60_000 / LENGTH_MILLIS;
    }
    requests.sort(Comparator.comparingLong(Request::atMillis).thenComparingInt(Request::id));
    List<Integer> cut = List.of(2, 5, 8, 11, 14, 17, 20);
    return new BudgetTrace(
        requests,
        topUps(demandPerMinute),
        crashes(random),
        new Partition(PARTITION_START_MILLIS, PARTITION_END_MILLIS, cut));
  }

  private static Request request(int id, long at, int workspace, UniformRandomProvider random) {
    // The bytes of a prompt bound its tokens; a token of English text has about four bytes.
    long bytes = 100 + random.nextInt(3_000);
    long limit = 64 + random.nextInt(448);
    long output = 1 + (long) (limit * random.nextDouble());
    return new Request(
        id,
        at,
        random.nextInt(ROUTERS),
        workspace,
        bytes + limit,
        bytes / 4 + output,
        200 + output * TOKEN_MILLIS);
  }

  /**
   * Budgets by workspace, in minutes of its demand. Of the large ones, 0 has plenty, 1 is topped up
   * twice during the partition, and 2 runs low before it is topped up during the partition. Of the
   * small ones, 3 runs out for good and 4 runs out until it is topped up after the partition.
   */
  private static List<TopUp> topUps(long[] demandPerMinute) {
    List<TopUp> t = new ArrayList<>();
    t.add(new TopUp(0, 0, 60 * demandPerMinute[0]));
    t.add(new TopUp(0, 1, 24 * demandPerMinute[1]));
    t.add(new TopUp(12 * 60_000L, 1, 10 * demandPerMinute[1]));
    t.add(new TopUp(16 * 60_000L, 1, 10 * demandPerMinute[1]));
    t.add(new TopUp(0, 2, 20 * demandPerMinute[2]));
    t.add(new TopUp(13 * 60_000L, 2, 30 * demandPerMinute[2]));
    t.add(new TopUp(0, 3, 15 * demandPerMinute[3]));
    t.add(new TopUp(0, 4, 18 * demandPerMinute[4]));
    t.add(new TopUp(22 * 60_000L, 4, 20 * demandPerMinute[4]));
    for (int w = 5; w < WORKSPACES; w++) {
      t.add(new TopUp(0, w, 60 * demandPerMinute[w]));
    }
    t.sort(Comparator.comparingLong(TopUp::atMillis));
    return t;
  }

  private static List<Crash> crashes(UniformRandomProvider random) {
    List<Crash> crashes = new ArrayList<>();
    for (long at = CRASH_INTERVAL_MILLIS; at < LENGTH_MILLIS; at += CRASH_INTERVAL_MILLIS) {
      crashes.add(new Crash(at, at + RESTART_MILLIS, random.nextInt(ROUTERS)));
    }
    return crashes;
  }

  /** Returns a digest by which a run states which trace it replayed. */
  String digest() {
    return Hashing.sha256().hashString(toString(), StandardCharsets.UTF_8).toString();
  }

  static String workspace(int number) {
    return "w" + number;
  }
}
