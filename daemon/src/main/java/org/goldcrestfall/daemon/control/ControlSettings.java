package org.goldcrestfall.daemon.control;

import static com.google.common.base.Preconditions.checkArgument;

import com.google.common.collect.ImmutableSortedMap;
import java.util.List;
import java.util.Map;
import java.util.function.Supplier;
import org.goldcrestfall.core.consensus.GroupPolicy;
import org.goldcrestfall.core.consensus.Timing;

/**
 * The settings of a control member. The members of an open group are not known in advance; there
 * {@code members} holds the hosts that form the group at its first start, or none, and {@code
 * contacts} the addresses where a host asks to join.
 *
 * @param host the host name of this member
 * @param address the peer address of this member
 * @param members the peer address of each control host, by host name
 * @param contacts supplies the peer addresses of hosts that know the group
 * @param policy how the group treats its members
 * @param timing the times of the protocol
 * @param snapshotEntries a snapshot is taken after so many entries
 * @param snapshotBytes a snapshot is taken after so many bytes of commands
 */
public record ControlSettings(
    String host,
    String address,
    ImmutableSortedMap<String, String> members,
    Supplier<List<String>> joinAddresses,
    GroupPolicy policy,
    Timing timing,
    int snapshotEntries,
    long snapshotBytes) {

  private static final int SNAPSHOT_ENTRIES = 5_000;
  private static final long SNAPSHOT_BYTES = 16 << 20;

  /** Hosts that form a group by themselves are small: a snapshot is a few configurations long. */
  private static final int SELF_FORMING_SNAPSHOT_ENTRIES = 2_000;

  private static final long SELF_FORMING_SNAPSHOT_BYTES = 4 << 20;

  /** Checks the arguments. */
  public ControlSettings {
    checkArgument(
        policy.open() || members.containsKey(host), "host %s is not a control member", host);
    checkArgument(snapshotEntries > 0, "snapshotEntries must be positive: %s", snapshotEntries);
  }

  /** Returns the usual settings of a member. */
  public static ControlSettings of(String host, Map<String, String> members) {
    return of(host, members, Timing.REGION, SNAPSHOT_ENTRIES, SNAPSHOT_BYTES);
  }

  /** Returns the settings of a member of a fixed group. */
  public static ControlSettings of(
      String host,
      Map<String, String> members,
      Timing timing,
      int snapshotEntries,
      long snapshotBytes) {
    return new ControlSettings(
        host,
        members.get(host),
        ImmutableSortedMap.copyOf(members),
        () -> List.copyOf(members.values()),
        GroupPolicy.FIXED,
        timing,
        snapshotEntries,
        snapshotBytes);
  }

  /**
   * Returns the settings of a member of an open group.
   *
   * @param founders the addresses that form the group at its first start; empty afterwards
   * @param contacts supplies the addresses where this host asks to join
   * @param lostDisks the disks that may be lost at the same time
   */
  public static ControlSettings selfForming(
      String host,
      String address,
      List<String> founders,
      Supplier<List<String>> contacts,
      int lostDisks) {
    ImmutableSortedMap.Builder<String, String> members = ImmutableSortedMap.naturalOrder();
    founders.forEach(a -> members.put(a, a));
    return new ControlSettings(
        host,
        address,
        members.build(),
        contacts,
        GroupPolicy.selfForming(lostDisks),
        Timing.SMALL_HOSTS,
        SELF_FORMING_SNAPSHOT_ENTRIES,
        SELF_FORMING_SNAPSHOT_BYTES);
  }

  /** Returns whether this host forms a new group; exactly one host does. */
  boolean isFounder() {
    return !members.isEmpty() && members.firstEntry().getValue().equals(address);
  }
}
