package org.goldcrestfall.daemon.storage;

import com.google.common.base.Splitter;
import java.util.List;

/**
 * The member id that belongs to one life of a disk. {@code rejoins} tells that this host has been a
 * member before, so that it never takes part in forming a new group.
 */
public record Identity(String id, boolean rejoins) {

  /** Parses the form of {@link #toString}. */
  public static Identity parse(String text) {
    List<String> fields = Splitter.on(' ').splitToList(text);
    return new Identity(fields.get(0), fields.size() > 1);
  }

  @Override
  public String toString() {
    return rejoins ? id + " rejoins" : id;
  }
}
