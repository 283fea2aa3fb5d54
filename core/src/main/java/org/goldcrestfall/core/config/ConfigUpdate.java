package org.goldcrestfall.core.config;

import java.util.List;
import org.goldcrestfall.core.control.ConfigChange;
import org.goldcrestfall.core.control.ConfigView;

/**
 * Reply to a request for the configuration after a revision: the changes in order, or a complete
 * view, or neither if the sender has nothing newer.
 *
 * @param id id of the request
 * @param revision newest revision of the sender
 * @param view complete view if the sender no longer has all changes after the revision, otherwise
 *     null
 * @param confirmed whether the sender has confirmed its revision with a majority of the control
 *     members since it started
 * @param confirmedAgeMillis time since that confirmation, or since the start of the sender if there
 *     was none
 */
public record ConfigUpdate(
    long id,
    long revision,
    List<ConfigChange> changes,
    ConfigView view,
    boolean confirmed,
    long confirmedAgeMillis) {

  /** Copies the list. */
  public ConfigUpdate {
    changes = List.copyOf(changes);
  }
}
