package org.goldcrestfall.core.config;

import java.util.List;
import org.goldcrestfall.core.control.ConfigChange;
import org.goldcrestfall.core.control.ConfigView;

/**
 * Answer to the question for what follows a revision: the changes in order, or a whole view, or
 * neither if there is nothing newer.
 *
 * @param id id of the question
 * @param revision newest revision of the sender
 * @param view null unless the changes do not reach back far enough
 * @param confirmed whether the sender has checked its revision with a majority of the control
 *     members since it started
 * @param confirmedAgeMillis time since that check
 */
public record ConfigAnswer(
    long id,
    long revision,
    List<ConfigChange> changes,
    ConfigView view,
    boolean confirmed,
    long confirmedAgeMillis) {

  /** Copies the list. */
  public ConfigAnswer {
    changes = List.copyOf(changes);
  }
}
