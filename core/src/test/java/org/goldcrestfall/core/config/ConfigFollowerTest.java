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

  private static ConfigUpdate update(long id, long revision) {
    return new ConfigUpdate(id, revision, List.of(), view(revision), false, 0);
  }

  private List<ConfigEffect.RequestUpdate> requests(int count) {
    List<ConfigEffect.RequestUpdate> requests = new ArrayList<>();
    for (int t = 0; requests.size() < count; t += 100) {
      for (ConfigEffect e : follower.tick(t)) {
        requests.add((ConfigEffect.RequestUpdate) e);
      }
    }
    return requests;
  }

  // Guards against counting a repeated update of one control member as that of another one.
  @Example
  void repeatedAnswerCountsOnlyForItsOwnRequest() {
    ConfigEffect.RequestUpdate first = requests(1).get(0);
    follower.onUpdate(update(first.id(), 3), 10);
    ConfigEffect.RequestUpdate second = requests(1).get(0);
    assertThat(second.address()).isNotEqualTo(first.address());
    follower.onUpdate(update(first.id(), 3), 20);
    assertThat(follower.confirmed()).isFalse();
    follower.onUpdate(update(second.id(), 3), 30);
    assertThat(follower.confirmed()).isTrue();
  }

  // Guards against applying a change without the change before it.
  @Example
  void changesAfterGapAreNotApplied() {
    follower.onLocalUpdate(update(0, 5), 0);
    var workspace = new ConfigView.Workspace("w", "c", null, 0, 0);
    var change = new ConfigChange(7, 9, workspace, null, null, null);
    follower.onUpdate(new ConfigUpdate(1, 9, List.of(change), null, false, 0), 10);
    assertThat(follower.view().revision()).isEqualTo(5);
    var missing = new ConfigChange(5, 7, null, null, null, null);
    follower.onUpdate(new ConfigUpdate(1, 9, List.of(missing, change), null, false, 0), 20);
    assertThat(follower.view().revision()).isEqualTo(9);
    assertThat(follower.view().workspaces()).containsKey("w");
    assertThat(follower.updateFor(2, 5, 30).changes()).containsExactly(missing, change);
    assertThat(follower.updateFor(2, 4, 30).view().revision()).isEqualTo(9);
  }

  // Guards against changes or views from a stale sender that revert the configuration.
  @Example
  void olderRevisionsAreIgnored() {
    follower.onUpdate(update(1, 8), 0);
    follower.onUpdate(update(2, 6), 10);
    var old = new ConfigChange(6, 7, null, null, null, null);
    follower.onUpdate(new ConfigUpdate(3, 7, List.of(old), null, true, 0), 20);
    assertThat(follower.view().revision()).isEqualTo(8);
    assertThat(follower.confirmed()).isFalse();
  }

  // Guards against waiting for the next poll when a peer is known to have a newer revision.
  @Example
  void peerWithNewerRevisionIsPolledAtOnce() {
    follower.setPeers(java.util.Set.of("p"));
    assertThat(follower.onNewerRevision("p", 4, 5))
        .hasSize(1)
        .first()
        .isInstanceOfSatisfying(
            ConfigEffect.RequestUpdate.class, a -> assertThat(a.address()).isEqualTo("p"));
    assertThat(follower.onNewerRevision("p", 5, 6)).isEmpty();
  }
}
