package org.goldcrestfall.core.membership;

import static com.google.common.base.Preconditions.checkArgument;

import org.goldcrestfall.core.common.Incarnation;

/**
 * Record of one member as known to another.
 *
 * @param host name of the host
 * @param boot boot number of the incarnation; 0 if the daemon is not registered yet
 * @param counter number that orders records of one incarnation; only the member itself raises it,
 *     to refute a suspicion
 * @param status status of the member
 * @param address address for messages to the member, with port
 * @param zone availability zone of the host
 * @param configRevision revision of the configuration that the member serves from
 */
public record Member(
    String host,
    long boot,
    long counter,
    Status status,
    String address,
    String zone,
    long configRevision) {

  /**
   * Status of a member, in order of precedence: of two records with the same boot number and
   * counter, the one whose status is declared later replaces the other.
   */
  public enum Status {
    ALIVE,
    SUSPECT,
    DEAD,
    LEFT
  }

  /** Upper bound of the encoded size of a record without its strings. */
  private static final int FIXED_BYTES = 40;

  /** Checks the arguments. */
  public Member {
    checkArgument(!host.isEmpty(), "host must not be empty");
    checkArgument(!address.isEmpty(), "address must not be empty");
    checkArgument(boot >= 0 && counter >= 0, "boot and counter must not be negative");
  }

  /** Returns whether the member is alive or suspected, and so takes part in the protocol. */
  public boolean live() {
    return status == Status.ALIVE || status == Status.SUSPECT;
  }

  /** Returns the incarnation of the member. */
  public Incarnation incarnation() {
    return new Incarnation(host, boot);
  }

  /** Returns whether this record replaces {@code other}, a record of the same host. */
  boolean supersedes(Member other) {
    if (boot != other.boot) {
      return boot > other.boot;
    }
    if (counter != other.counter) {
      return counter > other.counter;
    }
    return status.compareTo(other.status) > 0;
  }

  Member withStatus(Status newStatus) {
    return new Member(host, boot, counter, newStatus, address, zone, configRevision);
  }

  Member withCounter(long newCounter) {
    return new Member(host, boot, newCounter, status, address, zone, configRevision);
  }

  Member withBoot(long newBoot) {
    return new Member(host, newBoot, 0, status, address, zone, configRevision);
  }

  Member withConfigRevision(long newRevision) {
    return new Member(host, boot, counter, status, address, zone, newRevision);
  }

  /** Returns an upper bound of the encoded size in bytes. */
  int encodedBytes() {
    return FIXED_BYTES + host.length() + address.length() + zone.length();
  }
}
