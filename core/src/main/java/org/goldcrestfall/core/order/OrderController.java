package org.goldcrestfall.core.order;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.Function;
import org.goldcrestfall.core.control.ControlCommand.FinishOrder;
import org.goldcrestfall.core.control.EngineOrder;

/**
 * Decides when the leader sends which queued order. It sends only within its lease, one order at a
 * time to an engine, in the order of the fencing numbers. An engine that refuses old fencing
 * numbers gets its order at once. An engine that does not check them gets none until the lease of
 * the previous leader and the longest order timeout have passed, so that no order of that leader
 * can arrive later. Not thread-safe.
 */
public final class OrderController {

  /** Actions with this prefix read from the weight store. */
  public static final String LOAD_PREFIX = "load";

  /** Time after which the command that finishes an order is proposed again. */
  public static final long PROPOSE_AGAIN_MILLIS = 1_000;

  private final OrderSettings settings;
  private final Map<String, Engine> engines = new HashMap<>();
  private final Map<Long, Finishing> finishing = new HashMap<>();
  private LoadBucket loads;
  private boolean leader;
  private long uncheckedFromMillis;

  /** Creates the controller of a member that does not lead. */
  public OrderController(OrderSettings settings) {
    this.settings = settings;
  }

  /** Starts a time as the leader. */
  public void lead(long nowMillis) {
    leader = true;
    uncheckedFromMillis = nowMillis + settings.leaseMillis() + settings.orderTimeoutMillis();
    engines.clear();
    finishing.clear();
    loads = new LoadBucket(settings.loadsPerMinute(), settings.loadBurst(), nowMillis);
  }

  /** Ends the time as the leader. Orders under way are left to the next leader. */
  public void follow() {
    leader = false;
  }

  /**
   * Returns what to do now. {@code queued} are the queued orders by fencing number, {@code
   * leaseUntilMillis} is the end of the own lease, and {@code checksFencing} tells of an announced
   * engine whether it refuses old fencing numbers; it is empty for an engine that is not there.
   */
  public List<OrderEffect> tick(
      long nowMillis,
      long leaseUntilMillis,
      List<EngineOrder> queued,
      Function<String, Optional<Boolean>> checksFencing) {
    List<OrderEffect> effects = new ArrayList<>();
    if (!leader || nowMillis >= leaseUntilMillis) {
      return effects;
    }
    Set<Long> stillQueued = new HashSet<>();
    queued.forEach(o -> stillQueued.add(o.fencing()));
    finishing.keySet().retainAll(stillQueued);
    finishing.values().forEach(f -> f.propose(nowMillis, effects));
    Set<String> seen = new HashSet<>();
    for (EngineOrder o : queued) {
      // The next order of an engine waits until the one before it has left the queue.
      if (seen.add(o.engine()) && !finishing.containsKey(o.fencing())) {
        Optional<Boolean> checks = checksFencing.apply(o.engine());
        Engine e = engines.computeIfAbsent(o.engine(), n -> new Engine());
        if (checks.isPresent() && mayReceive(e, checks.get(), nowMillis) && mayLoad(o, nowMillis)) {
          e.send(o, nowMillis);
          effects.add(new OrderEffect.Send(o, leaseUntilMillis));
        }
      }
    }
    return effects;
  }

  private boolean mayReceive(Engine e, boolean checksFencing, long nowMillis) {
    if (e.underWay != null) {
      return false;
    }
    return checksFencing || (nowMillis >= uncheckedFromMillis && nowMillis >= e.quietFromMillis);
  }

  private boolean mayLoad(EngineOrder o, long nowMillis) {
    return !o.action().startsWith(LOAD_PREFIX) || loads.take(nowMillis);
  }

  /** Applies the end of an attempt and returns what to do now. */
  public List<OrderEffect> answered(
      EngineOrder order, OrderResult result, String detail, long nowMillis, long atMillis) {
    List<OrderEffect> effects = new ArrayList<>();
    Engine e = engines.get(order.engine());
    if (!leader || e == null || !order.equals(e.underWay)) {
      return effects;
    }
    e.underWay = null;
    if (result == OrderResult.UNKNOWN) {
      e.quietFromMillis = e.sentMillis + settings.orderTimeoutMillis();
    }
    boolean again = result == OrderResult.UNKNOWN || result == OrderResult.NOT_SENT;
    if (!again || e.attempts >= settings.attempts()) {
      e.attempts = 0;
      FinishOrder command =
          new FinishOrder(order.fencing(), result == OrderResult.DONE, detail, atMillis);
      Finishing f = new Finishing(command);
      finishing.put(order.fencing(), f);
      f.propose(nowMillis, effects);
    }
    return effects;
  }

  private static final class Engine {
    EngineOrder underWay;
    int attempts;
    long sentMillis;
    long quietFromMillis;

    void send(EngineOrder order, long nowMillis) {
      underWay = order;
      attempts++;
      sentMillis = nowMillis;
    }
  }

  private static final class Finishing {
    private final FinishOrder command;
    private long nextMillis = Long.MIN_VALUE;

    Finishing(FinishOrder command) {
      this.command = command;
    }

    void propose(long nowMillis, List<OrderEffect> effects) {
      if (nowMillis >= nextMillis) {
        nextMillis = nowMillis + PROPOSE_AGAIN_MILLIS;
        effects.add(new OrderEffect.Finish(command));
      }
    }
  }
}
