package org.goldcrestfall.core.budget;

import java.util.List;

/**
 * Computes for how many routers a router holds the reserve that outlasts a partition, see {@link
 * GrantPolicy#setReserveShare}. The routers of a zone with a disk share the reserve of the zone,
 * because after a restart they prove what they did not use, and a partition seldom divides a zone.
 */
public final class ReserveShare {

  private ReserveShare() {}

  /** A router in service. */
  public record Router(String host, String zone, boolean disk) {}

  /** Returns the share of {@code host}, which is 1 where its zone has no router with a disk. */
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
