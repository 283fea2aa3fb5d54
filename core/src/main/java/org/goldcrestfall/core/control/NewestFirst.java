package org.goldcrestfall.core.control;

import com.google.common.collect.Lists;
import java.util.List;

/** Selects the newest entries of a list. */
final class NewestFirst {

  private NewestFirst() {}

  /** Returns up to {@code limit} entries, newest first, of a list ordered from oldest to newest. */
  static <T> List<T> of(List<T> list, int limit) {
    int n = Math.max(0, Math.min(limit, list.size()));
    return List.copyOf(Lists.reverse(list.subList(list.size() - n, list.size())));
  }
}
