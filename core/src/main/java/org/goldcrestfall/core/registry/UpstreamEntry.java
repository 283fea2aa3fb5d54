package org.goldcrestfall.core.registry;

/**
 * The announcement of one upstream.
 *
 * @param id the upstream's own id, which can outlive a restart
 * @param service the service that it serves; empty if only its departure is known
 * @param address IP address and port
 * @param slots the requests that it works on at the same time
 * @param startedAtMillis its start by its own wall clock; a later start is a new incarnation
 * @param sequence grows with each announcement of one incarnation
 * @param warmupMillis how much longer it stays slow after its start
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

  /** Returns the entry of an incarnation that has left. */
  public static UpstreamEntry departed(String id, long startedAtMillis) {
    return new UpstreamEntry(
        id, "", "", "", UpstreamState.GONE, 0, startedAtMillis, Long.MAX_VALUE, 0);
  }

  /** Returns the same upstream as departed. */
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

  /** Returns whether this announcement replaces another one of the same id. */
  public boolean isNewerThan(UpstreamEntry other) {
    if (startedAtMillis != other.startedAtMillis) {
      return startedAtMillis > other.startedAtMillis;
    }
    if (sequence != other.sequence) {
      return sequence > other.sequence;
    }
    return state.compareTo(other.state) > 0;
  }

  /** Returns whether a router has to know the difference between this and another entry. */
  boolean differsFrom(UpstreamEntry other) {
    return state != other.state
        || startedAtMillis != other.startedAtMillis
        || !address.equals(other.address)
        || !service.equals(other.service);
  }
}
