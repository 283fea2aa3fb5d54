package org.goldcrestfall.core.config;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import org.goldcrestfall.core.control.ConfigChange;
import org.goldcrestfall.core.control.ConfigView;

/** The current view of the configuration and the latest changes that led to it. */
final class ConfigLog {

  /** Number of changes kept; a router that is further behind receives the complete view. */
  static final int MAX_CHANGES = 500;

  private final Deque<ConfigChange> changes = new ArrayDeque<>();
  private ConfigView view;

  ConfigLog(ConfigView view) {
    this.view = view;
  }

  ConfigView view() {
    return view;
  }

  /** Applies a change if it is newer and returns whether it was; changes must not be skipped. */
  boolean apply(ConfigChange change) {
    if (change.revision() <= view.revision()) {
      return false;
    }
    view = view.apply(change);
    changes.add(change);
    if (changes.size() > MAX_CHANGES) {
      changes.remove();
    }
    return true;
  }

  /** Replaces the view if the given one is newer and returns whether it was. */
  boolean replace(ConfigView newer) {
    if (newer.revision() <= view.revision()) {
      return false;
    }
    view = newer;
    changes.clear();
    return true;
  }

  /** Returns the changes after {@code revision}, or null if some of them are no longer kept. */
  List<ConfigChange> changesAfter(long revision) {
    if (revision >= view.revision()) {
      return List.of();
    }
    List<ConfigChange> after = new ArrayList<>();
    for (ConfigChange c : changes) {
      if (c.revision() > revision) {
        after.add(c);
      }
    }
    return !after.isEmpty() && after.get(0).previousRevision() <= revision ? after : null;
  }
}
