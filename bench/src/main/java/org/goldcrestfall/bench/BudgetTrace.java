package org.goldcrestfall.bench;

import com.google.common.hash.Hashing;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import org.apache.commons.rng.UniformRandomProvider;
import org.apache.commons.rng.simple.RandomSource;

/**
 * A trace of requests, top-ups, crashes and one network partition, generated from a seed. Times are
 * in milliseconds since the start of the trace, amounts are in tokens.
 */
record BudgetTrace(
    List<Request> requests, List<TopUp> topUps, List<Crash> crashes, Partition partition) {

  static final int ROUTERS = 21;
  static final int WORKSPACES = 10;
  static final int LARGE_WORKSPACES = 3;
  static final int ROUTERS_WITH_DISK = 5;
  static final long LENGTH_MILLIS = 30 * 60_000L;

  private static final double LARGE_WORKSPACE_REQUESTS_PER_SECOND = 25;
  private static final double SMALL_WORKSPACE_REQUESTS_PER_SECOND = 3;
  private static final long PARTITION_START_MILLIS = 10 * 60_000L;
  private static final long PARTITION_END_MILLIS = 20 * 60_000L;
  private static final long CRASH_INTERVAL_MILLIS = 60_000;
  private static final long RESTART_DELAY_MILLIS = 20_000;
  private static final long MILLIS_PER_OUTPUT_TOKEN = 29;

  /** A request that reserves {@code worstCase} tokens and then uses {@code used} of them. */
  record Request(
      int id,
      long atMillis,
      int router,
      int workspace,
      long worstCase,
      long used,
      long durationMillis) {}

  /** Tokens paid in. During the partition, the control group is on the side with the quorum. */
  record TopUp(long atMillis, int workspace, long tokens) {}

  /** A crash of a router process, and the time of its restart. */
  record Crash(long atMillis, long restartMillis, int router) {}

  /** A partition that cuts the listed routers off from the control group and the other routers. */
  record Partition(long startMillis, long endMillis, List<Integer> routers) {}

  static BudgetTrace generate(long seed) {
    UniformRandomProvider random = RandomSource.XO_RO_SHI_RO_128_PP.create(seed);
    List<Request> requests = new ArrayList<>();
    long[] demandPerMinute = new long[WORKSPACES];
    for (int w = 0; w < WORKSPACES; w++) {
      double rate =
          w < LARGE_WORKSPACES
              ? LARGE_WORKSPACE_REQUESTS_PER_SECOND
              : SMALL_WORKSPACE_REQUESTS_PER_SECOND;
      double atMillis = 0;
      long used = 0;
      while (atMillis < LENGTH_MILLIS) {
        atMillis += -Math.log(1 - random.nextDouble()) / rate * 1000;
        Request r = request(requests.size(), (long) atMillis, w, random);
        requests.add(r);
        used += r.used();
      }
      demandPerMinute[w] = used * 60_000 / LENGTH_MILLIS;
    }
    requests.sort(Comparator.comparingLong(Request::atMillis).thenComparingInt(Request::id));
    List<Integer> partitionedRouters = List.of(2, 5, 8, 11, 14, 17, 20);
    return new BudgetTrace(
        requests,
        topUps(demandPerMinute),
        crashes(random),
        new Partition(PARTITION_START_MILLIS, PARTITION_END_MILLIS, partitionedRouters));
  }

  private static Request request(
      int id, long atMillis, int workspace, UniformRandomProvider random) {
    // A prompt has at most one token per byte; a token of English text has about four bytes.
    long bytes = 100 + random.nextInt(3_000);
    long limit = 64 + random.nextInt(448);
    long output = 1 + (long) (limit * random.nextDouble());
    return new Request(
        id,
        atMillis,
        random.nextInt(ROUTERS),
        workspace,
        bytes + limit,
        bytes / 4 + output,
        200 + output * MILLIS_PER_OUTPUT_TOKEN);
  }

  /**
   * Returns the top-ups, sized in minutes of the average demand of the workspace. Of the large
   * workspaces, 0 never runs low, 1 is topped up twice during the partition, and 2 runs low before
   * it is topped up during the partition. Of the small workspaces, 3 runs out and is not topped up
   * again, 4 runs out and is topped up after the partition, and the others never run low.
   */
  private static List<TopUp> topUps(long[] demandPerMinute) {
    List<TopUp> topUps = new ArrayList<>();
    topUps.add(new TopUp(0, 0, 60 * demandPerMinute[0]));
    topUps.add(new TopUp(0, 1, 24 * demandPerMinute[1]));
    topUps.add(new TopUp(12 * 60_000L, 1, 10 * demandPerMinute[1]));
    topUps.add(new TopUp(16 * 60_000L, 1, 10 * demandPerMinute[1]));
    topUps.add(new TopUp(0, 2, 20 * demandPerMinute[2]));
    topUps.add(new TopUp(13 * 60_000L, 2, 30 * demandPerMinute[2]));
    topUps.add(new TopUp(0, 3, 15 * demandPerMinute[3]));
    topUps.add(new TopUp(0, 4, 18 * demandPerMinute[4]));
    topUps.add(new TopUp(22 * 60_000L, 4, 20 * demandPerMinute[4]));
    for (int w = 5; w < WORKSPACES; w++) {
      topUps.add(new TopUp(0, w, 60 * demandPerMinute[w]));
    }
    topUps.sort(Comparator.comparingLong(TopUp::atMillis));
    return topUps;
  }

  private static List<Crash> crashes(UniformRandomProvider random) {
    List<Crash> crashes = new ArrayList<>();
    for (long millis = CRASH_INTERVAL_MILLIS;
        millis < LENGTH_MILLIS;
        millis += CRASH_INTERVAL_MILLIS) {
      crashes.add(new Crash(millis, millis + RESTART_DELAY_MILLIS, random.nextInt(ROUTERS)));
    }
    return crashes;
  }

  /**
   * Returns a digest that identifies the trace in reports. It covers the record's string form, so
   * renaming a record or a component changes it.
   */
  String digest() {
    return Hashing.sha256().hashString(toString(), StandardCharsets.UTF_8).toString();
  }

  static String workspace(int number) {
    return "w" + number;
  }
}
