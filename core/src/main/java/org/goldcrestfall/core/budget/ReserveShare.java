package org.goldcrestfall.core.budget;

import java.util.List;

/**
 * Computes for how many routers a router holds the reserve for partitions, see {@link
 * GrantPolicy#setReserveShare}. The routers with a disk share the reserve of their zone, because
 * after a restart they can prove which tokens they did not use, and because a partition rarely
 * splits a zone.
 */
public final class ReserveShare {

  private ReserveShare() {}

  /** A router in service; {@code disk} tells whether it keeps a watermark on a disk. */
  public record Router(String host, String zone, boolean disk) {}

  /**
   * Returns for how many routers {@code host} holds the reserve, which need not be a whole number.
   * The result is 1 if the zone of the host has no router with a disk or if the host is not among
   * {@code routers}.
   */
  public static double of(String host, List<Router> routers) {
    Router self = null;
    for (Router r : routers) {
      self = r.host().equals(host) ? r : self;
    }
    if (self == null) {
      return 1;
    }
    int inZone = 0;
    int withDisk = 0;
    for (Router r : routers) {
      if (r.zone().equals(self.zone())) {
        inZone++;
        withDisk += r.disk() ? 1 : 0;
      }
    }
    if (withDisk == 0) {
      return 1;
    }
    return self.disk() ? (double) inZone / withDisk : 0;
  }
}
