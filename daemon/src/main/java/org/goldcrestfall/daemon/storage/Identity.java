package org.goldcrestfall.daemon.storage;

import com.google.common.base.Splitter;
import java.util.List;

/**
 * The identity of a member. It is stored on the member's disk, so a host whose disk was lost or
 * quarantined gets a new one.
 *
 * @param id the member id: the host name, {@code #} and a random number
 * @param rejoins whether this host has been a member under another id before; it then never takes
 *     part in forming a new group
 */
public record Identity(String id, boolean rejoins) {

  /** Parses the text that {@link #toString} returns. */
  public static Identity parse(String text) {
    List<String> fields = Splitter.on(' ').splitToList(text);
    return new Identity(fields.get(0), fields.size() > 1);
  }

  @Override
  public String toString() {
    return rejoins ? id + " rejoins" : id;
  }
}
