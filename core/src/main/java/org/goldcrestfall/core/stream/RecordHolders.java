package org.goldcrestfall.core.stream;

import java.util.List;
import org.goldcrestfall.core.common.RendezvousHash;

/**
 * Selects the two routers that hold the record of a running or finished answer by rendezvous
 * hashing.
 */
public final class RecordHolders {

  private RecordHolders() {}

  /** A live router that can hold records. */
  public record Holder(String host, String zone) {}

  /**
   * Returns the routers that hold the record of a request id: the one with the highest weight, and
   * the next one in another availability zone, or the second one by weight if all are in the same
   * zone. The list has one entry if one router is live, and none if there is none.
   */
  public static List<Holder> holders(String workspace, String requestId, List<Holder> live) {
    String key = workspace.length() + ":" + workspace + requestId;
    List<Holder> order = RendezvousHash.order(key, live, Holder::host);
    if (order.size() < 2) {
      return order;
    }
    Holder first = order.get(0);
    Holder second =
        order.stream().filter(h -> !h.zone.equals(first.zone)).findFirst().orElse(order.get(1));
    return List.of(first, second);
  }
}
