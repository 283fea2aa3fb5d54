package org.goldcrestfall.daemon.control;

import static com.google.common.base.Preconditions.checkArgument;

import com.google.common.collect.ImmutableSortedMap;
import java.util.List;
import java.util.Map;
import java.util.function.Supplier;
import org.goldcrestfall.core.consensus.GroupPolicy;
import org.goldcrestfall.core.consensus.Timing;

/**
 * The settings of a control member. The members of an open group are not known in advance: {@code
 * members} then contains the hosts that form the group at its first start, or is empty, and {@code
 * joinAddresses} supplies the addresses of hosts that are asked to add this host to the group.
 *
 * @param host the host name of this member
 * @param address the peer address of this member
 * @param members the peer addresses of the control hosts by host name; by address in an open group,
 *     where the host names are not known
 * @param joinAddresses supplies the peer addresses of hosts that know the group
 * @param policy the rules of the group on membership and acknowledgement
 * @param timing the intervals and timeouts of the consensus protocol
 * @param snapshotEntries the number of applied entries after which a snapshot is taken
 * @param snapshotBytes the number of bytes of applied commands after which a snapshot is taken
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

  /**
   * Lower than in a fixed group, because the hosts are small and a snapshot contains only a few
   * configurations.
   */
  private static final int OPEN_GROUP_SNAPSHOT_ENTRIES = 2_000;

  private static final long OPEN_GROUP_SNAPSHOT_BYTES = 4 << 20;

  /** Checks the arguments. */
  public ControlSettings {
    checkArgument(
        policy.openMembership() || members.containsKey(host),
        "host %s is not a control member",
        host);
    checkArgument(snapshotEntries > 0, "snapshotEntries must be positive: %s", snapshotEntries);
  }

  /** Returns the default settings of a member of a fixed group. */
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
   * @param founders the peer addresses of the hosts that form the group at its first start; empty
   *     afterwards
   * @param joinAddresses supplies the peer addresses of hosts that know the group
   * @param lostDisks the number of disks that may be lost at the same time without loss of
   *     acknowledged commands
   */
  public static ControlSettings ofOpenGroup(
      String host,
      String address,
      List<String> founders,
      Supplier<List<String>> joinAddresses,
      int lostDisks) {
    ImmutableSortedMap.Builder<String, String> members = ImmutableSortedMap.naturalOrder();
    founders.forEach(a -> members.put(a, a));
    return new ControlSettings(
        host,
        address,
        members.build(),
        joinAddresses,
        GroupPolicy.openGroup(lostDisks),
        Timing.SMALL_HOSTS,
        OPEN_GROUP_SNAPSHOT_ENTRIES,
        OPEN_GROUP_SNAPSHOT_BYTES);
  }

  /**
   * Returns whether this host is the one that creates a new group: the first of {@code members}, so
   * that no two hosts create one.
   */
  boolean isFounder() {
    return !members.isEmpty() && members.firstEntry().getValue().equals(address);
  }
}
