package org.goldcrestfall.core.control;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.List;
import java.util.TreeMap;

/** The current configuration, its newest changes, and the revision of every object. */
final class ConfigHistory {

  /** The number of changes retained; a router that is further behind fetches the whole view. */
  static final int MAX_CHANGES = 2_000;

  private ConfigView view = ConfigView.EMPTY;
  private final ArrayDeque<ConfigChange> changes = new ArrayDeque<>();
  private final TreeMap<String, Long> revisions = new TreeMap<>();

  ConfigView view() {
    return view;
  }

  /** Returns the changes after a revision in ascending order, null if some of them were dropped. */
  List<ConfigChange> changesAfter(long revision) {
    List<ConfigChange> result = new ArrayList<>();
    for (ConfigChange c : changes) {
      if (c.revision() > revision) {
        result.add(c);
      }
    }
    boolean complete = result.isEmpty() || result.get(0).previousRevision() <= revision;
    return complete ? result : null;
  }

  /** Returns the log index of the last change of an object, 0 if there was none. */
  long revision(String object) {
    return revisions.getOrDefault(object, 0L);
  }

  void setRevision(String object, long index) {
    revisions.put(object, index);
  }

  /** Returns the API key with an id in a workspace, null if there is none. */
  ConfigView.Key findKey(String workspace, String keyId) {
    for (ConfigView.Key k : view.keys().values()) {
      if (k.workspace().equals(workspace) && k.keyId().equals(keyId)) {
        return k;
      }
    }
    return null;
  }

  void put(long index, ConfigView.Workspace workspace) {
    add(new ConfigChange(view.revision(), index, workspace, null, null, null));
  }

  void put(long index, ConfigView.Key key) {
    add(new ConfigChange(view.revision(), index, null, key, null, null));
  }

  void put(long index, ConfigView.PatienceClass patienceClass) {
    add(new ConfigChange(view.revision(), index, null, null, patienceClass, null));
  }

  void put(long index, ConfigView.Service service) {
    add(new ConfigChange(view.revision(), index, null, null, null, service));
  }

  private void add(ConfigChange change) {
    view = view.apply(change);
    changes.add(change);
    if (changes.size() > MAX_CHANGES) {
      changes.remove();
    }
  }

  Saved save() {
    return new Saved(view, List.copyOf(changes), new TreeMap<>(revisions));
  }

  void restore(Saved s) {
    view = s.view();
    changes.addAll(s.changes());
    revisions.putAll(s.revisions());
  }

  /** The form of the configuration in a snapshot. */
  public record Saved(
      ConfigView view, List<ConfigChange> changes, TreeMap<String, Long> revisions) {}
}
