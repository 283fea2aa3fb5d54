package org.goldcrestfall.core.registry;

/**
 * The announcement of one upstream.
 *
 * @param id the id that the upstream gave itself, which may stay the same after a restart
 * @param service the service that the upstream serves; empty if only its departure is known
 * @param address the IP address and port
 * @param slots the maximum number of requests that the upstream processes at the same time
 * @param startedAtMillis the start time by the upstream's wall clock; a later start is a new
 *     incarnation
 * @param sequence the sequence number, which increases with each announcement of an incarnation
 * @param warmupMillis the remaining time for which the upstream warms up
 */
public record UpstreamEntry(
    String id,
    String service,
    String address,
    String zone,
    UpstreamState state,
    int slots,
    long startedAtMillis,
    long sequence,
    int warmupMillis) {

  /** Returns the entry of a departed incarnation of which only the id and start are known. */
  public static UpstreamEntry departed(String id, long startedAtMillis) {
    return new UpstreamEntry(
        id, "", "", "", UpstreamState.GONE, 0, startedAtMillis, Long.MAX_VALUE, 0);
  }

  /** Returns this entry with the state {@link UpstreamState#GONE}. */
  public UpstreamEntry asDeparted() {
    return new UpstreamEntry(
        id,
        service,
        address,
        zone,
        UpstreamState.GONE,
        slots,
        startedAtMillis,
        Long.MAX_VALUE,
        warmupMillis);
  }

  /** Returns this entry with another remaining time of the warm-up. */
  UpstreamEntry withWarmupMillis(int remainingMillis) {
    return new UpstreamEntry(
        id, service, address, zone, state, slots, startedAtMillis, sequence, remainingMillis);
  }

  /** Returns whether this announcement supersedes another one with the same id. */
  public boolean isNewerThan(UpstreamEntry other) {
    if (startedAtMillis != other.startedAtMillis) {
      return startedAtMillis > other.startedAtMillis;
    }
    if (sequence != other.sequence) {
      return sequence > other.sequence;
    }
    return state.compareTo(other.state) > 0;
  }

  /** Returns whether this incarnation started later than another one that it takes the place of. */
  public boolean replaces(UpstreamEntry earlier) {
    return startedAtMillis > earlier.startedAtMillis
        && (id.equals(earlier.id) || address.equals(earlier.address));
  }

  /** Returns whether this entry differs from another one in a way that matters to routers. */
  boolean differsFrom(UpstreamEntry other) {
    return state != other.state
        || startedAtMillis != other.startedAtMillis
        || !address.equals(other.address)
        || !service.equals(other.service);
  }
}
