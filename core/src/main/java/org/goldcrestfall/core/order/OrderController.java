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
 * Decides when the leader sends each queued order to its engine. It sends only within its lease,
 * one order at a time to each engine, in the order of the fencing numbers. An engine that refuses
 * old fencing numbers gets its order at once. An engine that does not check them gets none until
 * the lease of the previous leader and the order timeout have passed, so that no order of that
 * leader can arrive later. This class is not thread-safe.
 */
public final class OrderController {

  /** The prefix of actions that load from the weight store and count against its rate. */
  public static final String LOAD_PREFIX = "load";

  /** Interval at which the command that finishes an order is proposed again until it is applied. */
  public static final long PROPOSAL_RETRY_MILLIS = 1_000;

  private final OrderSettings settings;
  private final Map<String, EngineState> engines = new HashMap<>();
  private final Map<Long, PendingFinish> pendingFinishes = new HashMap<>();
  private LoadRateLimiter loadLimiter;
  private boolean leader;

  /** Earliest time for orders to engines that do not check fencing numbers. */
  private long unfencedSendFromMillis;

  /** Creates a controller in the state of a member that does not lead. */
  public OrderController(OrderSettings settings) {
    this.settings = settings;
  }

  /** Handles the start of a leadership. */
  public void becomeLeader(long nowMillis) {
    leader = true;
    unfencedSendFromMillis = nowMillis + settings.leaseMillis() + settings.orderTimeoutMillis();
    engines.clear();
    pendingFinishes.clear();
    loadLimiter = new LoadRateLimiter(settings.loadsPerMinute(), settings.loadBurst(), nowMillis);
  }

  /** Handles the end of a leadership; orders in flight are left to the next leader. */
  public void becomeFollower() {
    leader = false;
  }

  /**
   * Advances the time and returns the effects that are due.
   *
   * @param leaseUntilMillis end of this member's lease as the leader
   * @param queued queued orders by ascending fencing number
   * @param checksFencing maps the name of an engine to whether it refuses old fencing numbers, or
   *     to empty if the engine is not announced
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
    pendingFinishes.keySet().retainAll(stillQueued);
    pendingFinishes.values().forEach(f -> f.propose(nowMillis, effects));
    Set<String> enginesSeen = new HashSet<>();
    for (EngineOrder o : queued) {
      // An order waits until the previous order to the same engine has left the queue.
      if (enginesSeen.add(o.engine()) && !pendingFinishes.containsKey(o.fencing())) {
        Optional<Boolean> checks = checksFencing.apply(o.engine());
        EngineState e = engines.computeIfAbsent(o.engine(), n -> new EngineState());
        if (checks.isPresent()
            && canReceive(e, checks.get(), nowMillis)
            && acquireLoadPermit(o, nowMillis)) {
          e.send(o, nowMillis);
          effects.add(new OrderEffect.Send(o, leaseUntilMillis));
        }
      }
    }
    return effects;
  }

  private boolean canReceive(EngineState e, boolean checksFencing, long nowMillis) {
    if (e.inFlight != null) {
      return false;
    }
    return checksFencing
        || (nowMillis >= unfencedSendFromMillis && nowMillis >= e.unfencedSendFromMillis);
  }

  /**
   * Takes a permit from the load rate limiter if the order is a load; returns false if none is
   * left.
   */
  private boolean acquireLoadPermit(EngineOrder o, long nowMillis) {
    return !o.action().startsWith(LOAD_PREFIX) || loadLimiter.tryAcquire(nowMillis);
  }

  /**
   * Handles the result of an attempt and returns the effects that are due.
   *
   * @param nowMillis current time on the clock of {@link #tick}
   * @param atMillis current UTC time, which is recorded with the order
   */
  public List<OrderEffect> onAttemptResult(
      EngineOrder order, OrderResult result, String detail, long nowMillis, long atMillis) {
    List<OrderEffect> effects = new ArrayList<>();
    EngineState e = engines.get(order.engine());
    if (!leader || e == null || !order.equals(e.inFlight)) {
      return effects;
    }
    e.inFlight = null;
    if (result == OrderResult.UNKNOWN) {
      e.unfencedSendFromMillis = e.sentAtMillis + settings.orderTimeoutMillis();
    }
    boolean retry = result == OrderResult.UNKNOWN || result == OrderResult.NOT_SENT;
    if (!retry || e.attempts >= settings.attempts()) {
      e.attempts = 0;
      FinishOrder command =
          new FinishOrder(order.fencing(), result == OrderResult.DONE, detail, atMillis);
      PendingFinish f = new PendingFinish(command);
      pendingFinishes.put(order.fencing(), f);
      f.propose(nowMillis, effects);
    }
    return effects;
  }

  /** The attempts to send orders to one engine. */
  private static final class EngineState {
    /** The order that was sent and has no result yet, or null. */
    EngineOrder inFlight;

    /** Attempts to send the current order. */
    int attempts;

    long sentAtMillis;

    /** Earliest time for the next order if the engine does not check fencing numbers. */
    long unfencedSendFromMillis;

    void send(EngineOrder order, long nowMillis) {
      inFlight = order;
      attempts++;
      sentAtMillis = nowMillis;
    }
  }

  /** A command that finishes an order and has not been applied yet. */
  private static final class PendingFinish {
    private final FinishOrder command;
    private long nextProposalMillis = Long.MIN_VALUE;

    PendingFinish(FinishOrder command) {
      this.command = command;
    }

    void propose(long nowMillis, List<OrderEffect> effects) {
      if (nowMillis >= nextProposalMillis) {
        nextProposalMillis = nowMillis + PROPOSAL_RETRY_MILLIS;
        effects.add(new OrderEffect.Finish(command));
      }
    }
  }
}
