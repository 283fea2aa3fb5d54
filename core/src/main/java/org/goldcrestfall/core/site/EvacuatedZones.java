package org.goldcrestfall.core.site;

import com.google.common.collect.ImmutableSet;
import com.google.common.collect.Sets;

/**
 * The availability zones whose upstreams get no new requests.
 *
 * @param index the log index of the last change; 0 if there was none
 */
public record EvacuatedZones(long index, ImmutableSet<String> zones) {

  /** No zone is evacuated, and none was before. */
  public static final EvacuatedZones NONE = new EvacuatedZones(0, ImmutableSet.of());

  /** Returns whether a zone is evacuated. */
  public boolean contains(String zone) {
    return zones.contains(zone);
  }

  /** Returns the zones after an order at a log index; this record if the order changes nothing. */
  EvacuatedZones after(long orderIndex, SiteCommand.SetEvacuation order) {
    if (contains(order.zone()) == order.evacuated()) {
      return this;
    }
    ImmutableSet<String> zone = ImmutableSet.of(order.zone());
    ImmutableSet<String> next =
        order.evacuated()
            ? Sets.union(zones, zone).immutableCopy()
            : Sets.difference(zones, zone).immutableCopy();
    return new EvacuatedZones(orderIndex, next);
  }
}
