package org.goldcrestfall.core.stream;

import java.util.List;
import org.goldcrestfall.core.common.RendezvousHash;

/** Places the record of a running or kept answer on two routers by rendezvous hash. */
public final class RecordHolders {

  private RecordHolders() {}

  /** A live router. */
  public record Holder(String host, String zone) {}

  /**
   * Returns the routers that hold the record of a request id: the first by weight, and the first in
   * another availability zone, or the second by weight if all are in one zone. The list has one
   * entry if one router is live, and none if there is none.
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
