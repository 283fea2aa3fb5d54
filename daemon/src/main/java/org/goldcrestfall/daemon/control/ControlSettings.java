package org.goldcrestfall.daemon.control;

import static com.google.common.base.Preconditions.checkArgument;

import com.google.common.collect.ImmutableSortedMap;
import java.util.Map;
import org.goldcrestfall.core.consensus.Timing;

/**
 * The settings of a control member.
 *
 * @param host the host name of this member
 * @param members the peer address of each control host, by host name; includes this one
 * @param timing the times of the protocol
 * @param snapshotEntries a snapshot is taken after so many entries
 * @param snapshotBytes a snapshot is taken after so many bytes of commands
 */
public record ControlSettings(
    String host,
    ImmutableSortedMap<String, String> members,
    Timing timing,
    int snapshotEntries,
    long snapshotBytes) {

  private static final int SNAPSHOT_ENTRIES = 5_000;
  private static final long SNAPSHOT_BYTES = 16 << 20;

  /** Checks the arguments. */
  public ControlSettings {
    checkArgument(members.containsKey(host), "host %s is not a control member", host);
    checkArgument(snapshotEntries > 0, "snapshotEntries must be positive: %s", snapshotEntries);
  }

  /** Returns the usual settings of a member. */
  public static ControlSettings of(String host, Map<String, String> members) {
    return new ControlSettings(
        host, ImmutableSortedMap.copyOf(members), Timing.REGION, SNAPSHOT_ENTRIES, SNAPSHOT_BYTES);
  }

  /** Returns the peer address of this member. */
  public String address() {
    return members.get(host);
  }

  /** Returns whether this host forms a new group; exactly one host does. */
  boolean isFounder() {
    return members.firstKey().equals(host);
  }
}
