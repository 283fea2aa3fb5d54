package org.goldcrestfall.core.control;

import java.util.ArrayList;
import java.util.List;
import java.util.TreeMap;
import org.goldcrestfall.core.common.ErrorKind;
import org.goldcrestfall.core.control.EngineOrder.State;

/** The queued and finished orders to engines, by fencing number. */
final class OrderTable {

  /** The maximum number of queued orders; further intents to order an engine are refused. */
  static final int MAX_QUEUED_ORDERS = 1_000;

  /** The maximum number of orders in total; the oldest finished orders are dropped first. */
  static final int MAX_ORDERS = 3_000;

  private final TreeMap<Long, EngineOrder> orders = new TreeMap<>();

  void enqueue(long fencing, Intent.OrderEngine i, long atMillis) {
    orders.put(
        fencing,
        new EngineOrder(fencing, i.engine(), i.action(), i.model(), State.QUEUED, "", atMillis, 0));
    if (orders.size() > MAX_ORDERS) {
      for (EngineOrder o : orders.values()) {
        if (o.state() != State.QUEUED) {
          orders.remove(o.fencing());
          break;
        }
      }
    }
  }

  int queuedCount() {
    return queued().size();
  }

  /** Returns the queued orders in ascending order of their fencing numbers. */
  List<EngineOrder> queued() {
    List<EngineOrder> result = new ArrayList<>();
    for (EngineOrder o : orders.values()) {
      if (o.state() == State.QUEUED) {
        result.add(o);
      }
    }
    return result;
  }

  ControlReply finish(ControlCommand.FinishOrder c) {
    EngineOrder o = orders.get(c.fencing());
    if (o == null) {
      return new ControlReply.Refused(
          ErrorKind.NOT_FOUND, "there is no order with fencing number " + c.fencing());
    }
    if (o.state() == State.QUEUED) {
      State state = c.success() ? State.DONE : State.FAILED;
      orders.put(
          c.fencing(),
          new EngineOrder(
              o.fencing(),
              o.engine(),
              o.action(),
              o.model(),
              state,
              c.detail(),
              o.queuedAtMillis(),
              c.atMillis()));
    }
    return new ControlReply.Done();
  }

  /** Returns the newest orders, newest first. */
  List<EngineOrder> newest(int limit) {
    return NewestFirst.of(List.copyOf(orders.values()), limit);
  }

  List<EngineOrder> save() {
    return List.copyOf(orders.values());
  }

  void restore(List<EngineOrder> saved) {
    saved.forEach(o -> orders.put(o.fencing(), o));
  }
}
