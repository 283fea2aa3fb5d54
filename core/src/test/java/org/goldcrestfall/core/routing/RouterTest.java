package org.goldcrestfall.core.routing;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Random;
import java.util.Set;
import java.util.stream.IntStream;
import net.jqwik.api.Example;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;

/** Guards against the choice of ineligible upstreams and against decisions on outdated state. */
final class RouterTest {

  private static final List<RoutingPolicy> POLICIES =
      List.of(
          RouterSettings.DEFAULTS.policy(Set.of(RouterSettings.Factor.values())),
          new RandomPolicy(),
          new LeastLoadPolicy(),
          new AffinityPolicy());

  private static Candidate engine(String name, int running, long age, boolean leaving) {
    return new Candidate(name, "zone-a", Set.of("m"), Set.of(), running, 0, 8, age, leaving);
  }

  private static RoutingRequest request(Set<String> excluded) {
    return new RoutingRequest("m", List.of(1L, 2L), 200, excluded);
  }

  /**
   * Guards against requests that are sent to a leaving or ejected upstream, however good its load
   * and its cache look.
   */
  @Property(tries = 300, seed = "41")
  void neverPicksLeavingOrExcludedUpstream(
      @ForAll long seed, @ForAll @IntRange(min = 1, max = 12) int size) {
    Random random = new Random(seed);
    for (RoutingPolicy policy : POLICIES) {
      Router router = new Router("r", "zone-a", RouterSettings.DEFAULTS, policy, seed);
      for (int step = 0; step < 30; step++) {
        List<Candidate> candidates = new ArrayList<>();
        Set<String> excluded = new HashSet<>();
        Set<String> allowed = new HashSet<>();
        for (int i = 0; i < size; i++) {
          boolean leaving = random.nextInt(3) == 0;
          // Leaving upstreams look idle and have cached blocks, so that each policy would prefer
          // them.
          candidates.add(engine("e" + i, leaving ? 0 : 7, random.nextInt(500), leaving));
          router.onCacheEvent("e" + i, new CacheEvent(step, 1 + step % 2, true), step);
          if (random.nextInt(4) == 0) {
            excluded.add("e" + i);
          } else if (!leaving) {
            allowed.add("e" + i);
          }
        }
        RoutingRequest request = request(excluded);
        var chosen = router.choose(request, candidates, step);
        assertThat(chosen.isPresent()).isEqualTo(!allowed.isEmpty());
        chosen.ifPresent(
            c -> {
              assertThat(allowed).contains(c.name());
              router.onSend(c.name(), request, 0);
            });
      }
    }
  }

  /** Guards against a burst of requests to the one engine that a delayed report shows as idle. */
  @Example
  void ownSendsCorrectDelayedReport() {
    LoadTracker load = new LoadTracker();
    load.onSend("e", 10, 100);
    load.onSend("e", 10, 200);
    load.onSend("e", 10, 300);
    SentRequest last = load.onSend("e", 10, 310);
    assertThat(load.pendingPrefillMillis("e")).isEqualTo(40);
    load.onFirstToken(last, 311);
    load.onCompletion(last, 320);
    load.onCompletion(last, 330);
    assertThat(load.outstanding(engine("e", 5, 160, false), 350)).isEqualTo(7);
    assertThat(load.outstanding(engine("e", 0, 10, false), 400)).isEqualTo(3);
    assertThat(load.holdMillis("e", 0)).isEqualTo(9);
    assertThat(load.pendingPrefillMillis("e")).isEqualTo(30);
  }

  /**
   * Guards against reliance on cache state that lost events may have changed, and against unbounded
   * memory.
   */
  @Example
  void cacheConfidenceDecaysWithTimeAndLostEvents() {
    PrefixIndex index = new PrefixIndex(3, 1_000);
    index.onEvent("e", new CacheEvent(5, 1, true), 0);
    index.onEvent("e", new CacheEvent(6, 2, true), 0);
    assertThat(index.cachedBlocks("e", List.of(1L, 2L), 0)).isEqualTo(2);
    assertThat(index.cachedBlocks("e", List.of(9L, 2L), 0)).isZero();
    assertThat(index.cachedBlocks("e", List.of(1L), 1_000)).isEqualTo(0.5);
    index.onEvent("e", new CacheEvent(57, 3, true), 0);
    assertThat(index.cachedBlocks("e", List.of(1L), 0)).isLessThan(0.5);
    index.onEvent("e", new CacheEvent(58, 1, false), 0);
    index.onEvent("e", new CacheEvent(6, 1, true), 0);
    assertThat(index.cachedBlocks("e", List.of(1L, 2L), 0)).isZero();
    index.onSend("e", LongList.range(10, 30), 0);
    assertThat(index.size()).isEqualTo(3);
  }

  /** Guards against a popular prefix that overloads the engine that has cached it. */
  @Example
  void cachedPrefixIsIgnoredBeyondLoadBound() {
    Router router = new Router("r", "zone-a", RouterSettings.DEFAULTS, 7);
    List<Long> prefix = LongList.range(0, 100);
    RoutingRequest request = new RoutingRequest("m", prefix, 6_400, Set.of());
    prefix.forEach(p -> router.onCacheEvent("warm", new CacheEvent(p, p, true), 0));
    List<Candidate> idle = List.of(engine("warm", 1, 0, false), engine("cold", 1, 0, false));
    List<Candidate> skewed = List.of(engine("warm", 8, 0, false), engine("cold", 1, 0, false));
    assertThat(router.choose(request, idle, 0).orElseThrow().name()).isEqualTo("warm");
    assertThat(router.choose(request, skewed, 0).orElseThrow().name()).isEqualTo("cold");
  }

  /** Guards against a subset that changes when an unrelated upstream joins or leaves. */
  @Example
  void subsetIsStable() {
    List<String> names = IntStream.range(0, 100).mapToObj(i -> "e" + i).toList();
    List<String> fewer = names.stream().filter(n -> !n.equals("e3")).toList();
    var all = org.goldcrestfall.core.common.RendezvousHash.subset("r", names, n -> n, 20);
    var remaining = org.goldcrestfall.core.common.RendezvousHash.subset("r", fewer, n -> n, 20);
    assertThat(remaining).containsAll(all.stream().filter(n -> !n.equals("e3")).toList());
  }

  /** Guards against hashes that differ between router and engine for the same prefix. */
  @Example
  void prefixHashesAgreeUpToTheFirstDifference() {
    String same = "x".repeat(PrefixHasher.BLOCK_BYTES * 3);
    List<Long> left = PrefixHasher.hash("m", same + "a".repeat(300));
    List<Long> right = PrefixHasher.hash("m", same + "b".repeat(300));
    assertThat(left).hasSize(4).startsWith(right.subList(0, 3).toArray(Long[]::new));
    assertThat(left.get(3)).isNotEqualTo(right.get(3));
    assertThat(PrefixHasher.hash("other", same)).doesNotContainAnyElementsOf(left);
    assertThat(PrefixHasher.parse(PrefixHasher.format(left.get(0)))).isEqualTo(left.get(0));
  }

  private static final class LongList {
    static List<Long> range(long from, long to) {
      return java.util.stream.LongStream.range(from, to).boxed().toList();
    }
  }
}
