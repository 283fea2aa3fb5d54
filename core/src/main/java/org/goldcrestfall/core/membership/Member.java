package org.goldcrestfall.core.membership;

import static com.google.common.base.Preconditions.checkArgument;

import org.goldcrestfall.core.common.Incarnation;

/**
 * What is known about one member. The member itself raises {@code counter} to refute a suspicion;
 * {@code configRevision} is the revision of the configuration that it serves from.
 */
public record Member(
    String host,
    long boot,
    long counter,
    Status status,
    String address,
    String zone,
    long configRevision) {

  /** Status of a member; of two records with the same boot and counter the later status wins. */
  public enum Status {
    ALIVE,
    SUSPECT,
    DEAD,
    LEFT
  }

  /** Upper bound of the encoded size of a record without its texts. */
  private static final int FIXED_BYTES = 40;

  /** Checks the arguments. */
  public Member {
    checkArgument(!host.isEmpty(), "host must not be empty");
    checkArgument(!address.isEmpty(), "address must not be empty");
    checkArgument(boot >= 0 && counter >= 0, "boot and counter must not be negative");
  }

  /** Returns whether the member takes part in the protocol: it is alive or suspected. */
  public boolean live() {
    return status == Status.ALIVE || status == Status.SUSPECT;
  }

  /** Returns the incarnation. */
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

  Member withStatus(Status s) {
    return new Member(host, boot, counter, s, address, zone, configRevision);
  }

  Member withCounter(long c) {
    return new Member(host, boot, c, status, address, zone, configRevision);
  }

  Member withBoot(long b) {
    return new Member(host, b, 0, status, address, zone, configRevision);
  }

  Member withConfigRevision(long revision) {
    return new Member(host, boot, counter, status, address, zone, revision);
  }

  /** Returns an upper bound of the encoded size in bytes. */
  int encodedBytes() {
    return FIXED_BYTES + host.length() + address.length() + zone.length();
  }
}
