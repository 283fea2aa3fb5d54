package org.goldcrestfall.core.control;

import com.google.common.collect.Lists;
import java.util.List;

/** Picks the newest entries of a list that is ordered from old to new. */
final class Newest {

  private Newest() {}

  static <T> List<T> of(List<T> list, int limit) {
    int n = Math.max(0, Math.min(limit, list.size()));
    return List.copyOf(Lists.reverse(list.subList(list.size() - n, list.size())));
  }
}
