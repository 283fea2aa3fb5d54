package org.goldcrestfall.core.stream;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import net.jqwik.api.Example;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import org.goldcrestfall.core.stream.RecordHolders.Holder;

/** Guards against replays of incomplete text or of another answer, and against unbounded memory. */
final class AnswerStoreTest {

  /**
   * Guards against replays that differ from the appended tokens, and against stores that exceed
   * their bounds, while answers are begun, extended, finished and abandoned in random order.
   */
  @Property(tries = 300, seed = "45")
  void replaysExactlyWhatWasAppendedWithinBounds(@ForAll long seed) {
    Random random = new Random(seed);
    AnswerStore store = new AnswerStore(6, 4_000, 500);
    Map<AnswerKey, List<String>> bodyHashAndTokens = new HashMap<>();
    long now = 0;
    for (int i = 0; i < 400; i++) {
      now += random.nextInt(20);
      AnswerKey key = new AnswerKey("w" + random.nextInt(2), "r" + random.nextInt(5));
      switch (random.nextInt(8)) {
        case 0, 1 -> {
          String hash = random.nextInt(4) == 0 ? "other" : "hash";
          boolean known = store.state(key).isPresent();
          AnswerLookup lookup = store.begin(key, hash, now);
          if (lookup == AnswerLookup.STARTED) {
            bodyHashAndTokens.put(key, new ArrayList<>(List.of(hash)));
          } else if (known && lookup != AnswerLookup.FULL) {
            boolean same = bodyHashAndTokens.get(key).get(0).equals(hash);
            assertThat(lookup == AnswerLookup.REUSED).isEqualTo(!same);
          }
        }
        case 2 -> store.finish(key, now);
        case 3 -> store.abandon(key);
        default -> {
          if (store.state(key).equals(java.util.Optional.of(AnswerState.RUNNING))) {
            String token =
                key + "#" + bodyHashAndTokens.get(key).size() + "x".repeat(random.nextInt(40));
            store.append(key, token);
            bodyHashAndTokens.get(key).add(token);
          }
        }
      }
      int offset = random.nextInt(3);
      store
          .read(key, offset)
          .ifPresent(
              tokens -> {
                List<String> all =
                    bodyHashAndTokens.get(key).subList(1, bodyHashAndTokens.get(key).size());
                assertThat(tokens).isEqualTo(all.subList(Math.min(offset, all.size()), all.size()));
              });
      assertThat(store.size()).isLessThanOrEqualTo(6);
      assertThat(store.bytes()).isLessThanOrEqualTo(4_000).isGreaterThanOrEqualTo(0);
    }
    now += 500;
    store.expire(now);
    for (AnswerKey key : bodyHashAndTokens.keySet()) {
      store.abandon(key);
    }
    assertThat(store.bytes()).isZero();
  }

  /**
   * Guards against a second record for one request id, which arises if its holders change when an
   * unrelated router leaves, and against both records in one availability zone.
   */
  @Example
  void recordHoldersAreStableAndInDifferentZones() {
    List<Holder> live = new ArrayList<>();
    for (int i = 0; i < 15; i++) {
      live.add(new Holder("h" + i, "zone-" + i % 3));
    }
    int moved = 0;
    for (int i = 0; i < 300; i++) {
      List<Holder> holders = RecordHolders.holders("w", "r" + i, live);
      assertThat(holders).hasSize(2);
      assertThat(holders.get(0).zone()).isNotEqualTo(holders.get(1).zone());
      List<Holder> after = RecordHolders.holders("w", "r" + i, live.subList(1, live.size()));
      moved += after.equals(holders) ? 0 : 1;
      assertThat(holders.contains(live.get(0)) || after.equals(holders)).isTrue();
    }
    assertThat(moved).isLessThan(90);
    assertThat(RecordHolders.holders("w", "r", live.subList(0, 1))).hasSize(1);
  }
}
