package org.goldcrestfall.core.config;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import net.jqwik.api.Example;
import org.goldcrestfall.core.control.ConfigChange;
import org.goldcrestfall.core.control.ConfigView;

class ConfigFollowerTest {

  private static final List<String> CONTROL = List.of("c0", "c1", "c2");
  private final ConfigFollower follower = new ConfigFollower("r", CONTROL, ConfigView.EMPTY, 1, 0);

  private static ConfigView view(long revision) {
    return new ConfigView(revision, Map.of(), Map.of(), Map.of(), Map.of());
  }

  private static ConfigAnswer answer(long id, long revision) {
    return new ConfigAnswer(id, revision, List.of(), view(revision), false, 0);
  }

  private List<ConfigEffect.Ask> requests(int count) {
    List<ConfigEffect.Ask> requests = new ArrayList<>();
    for (int t = 0; requests.size() < count; t += 100) {
      for (ConfigEffect e : follower.tick(t)) {
        requests.add((ConfigEffect.Ask) e);
      }
    }
    return requests;
  }

  // Guards against counting a repeated answer of one control member as that of another one.
  @Example
  void repeatedAnswerCountsOnlyForItsOwnRequest() {
    ConfigEffect.Ask first = requests(1).get(0);
    follower.answer(answer(first.id(), 3), 10);
    ConfigEffect.Ask second = requests(1).get(0);
    assertThat(second.address()).isNotEqualTo(first.address());
    follower.answer(answer(first.id(), 3), 20);
    assertThat(follower.confirmed()).isFalse();
    follower.answer(answer(second.id(), 3), 30);
    assertThat(follower.confirmed()).isTrue();
  }

  // Guards against applying a change without the change before it.
  @Example
  void changesAfterGapAreNotApplied() {
    follower.local(answer(0, 5), 0);
    var workspace = new ConfigView.Workspace("w", "c", null, 0, 0);
    var change = new ConfigChange(7, 9, workspace, null, null, null);
    follower.answer(new ConfigAnswer(1, 9, List.of(change), null, false, 0), 10);
    assertThat(follower.view().revision()).isEqualTo(5);
    var missing = new ConfigChange(5, 7, null, null, null, null);
    follower.answer(new ConfigAnswer(1, 9, List.of(missing, change), null, false, 0), 20);
    assertThat(follower.view().revision()).isEqualTo(9);
    assertThat(follower.view().workspaces()).containsKey("w");
    assertThat(follower.answerFor(2, 5, 30).changes()).containsExactly(missing, change);
    assertThat(follower.answerFor(2, 4, 30).view().revision()).isEqualTo(9);
  }

  // Guards against changes or views from a stale sender that revert the configuration.
  @Example
  void olderRevisionsAreIgnored() {
    follower.answer(answer(1, 8), 0);
    follower.answer(answer(2, 6), 10);
    var old = new ConfigChange(6, 7, null, null, null, null);
    follower.answer(new ConfigAnswer(3, 7, List.of(old), null, true, 0), 20);
    assertThat(follower.view().revision()).isEqualTo(8);
    assertThat(follower.confirmed()).isFalse();
  }

  // Guards against waiting for the next poll when a peer is known to have a newer revision.
  @Example
  void peerWithNewerRevisionIsAskedAtOnce() {
    follower.setPeers(java.util.Set.of("p"));
    assertThat(follower.learn("p", 4, 5))
        .hasSize(1)
        .first()
        .isInstanceOfSatisfying(
            ConfigEffect.Ask.class, a -> assertThat(a.address()).isEqualTo("p"));
    assertThat(follower.learn("p", 5, 6)).isEmpty();
  }
}
