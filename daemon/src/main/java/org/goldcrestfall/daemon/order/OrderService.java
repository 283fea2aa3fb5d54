package org.goldcrestfall.daemon.order;

import com.google.common.flogger.FluentLogger;
import java.util.List;
import java.util.Optional;
import java.util.function.Function;
import java.util.function.Supplier;
import org.apache.pekko.http.javadsl.model.ContentTypes;
import org.apache.pekko.http.javadsl.model.HttpEntities;
import org.apache.pekko.http.javadsl.model.HttpRequest;
import org.goldcrestfall.core.common.MillisClock;
import org.goldcrestfall.core.consensus.Role;
import org.goldcrestfall.core.control.EngineOrder;
import org.goldcrestfall.core.order.OrderController;
import org.goldcrestfall.core.order.OrderEffect;
import org.goldcrestfall.core.order.OrderResult;
import org.goldcrestfall.daemon.control.ControlService;
import org.goldcrestfall.daemon.control.ControlStatus;
import org.goldcrestfall.daemon.http.HttpResponses;
import org.goldcrestfall.daemon.http.Json;
import org.goldcrestfall.daemon.upstream.NotSentException;
import org.goldcrestfall.daemon.upstream.ServiceClient;
import org.goldcrestfall.daemon.upstream.ServiceResponse;

/**
 * Sends queued orders to engines as {@link OrderController} decides, while this member is the
 * leader.
 */
public final class OrderService {

  private static final FluentLogger logger = FluentLogger.forEnclosingClass();
  private static final int STATUS_OK = 200;
  private static final int STATUS_CONFLICT = 409;

  private final OrderController controller;
  private final Supplier<ControlStatus> status;
  private final Supplier<List<EngineOrder>> queuedOrders;
  private final Function<String, Optional<Engine>> engineLookup;
  private final ServiceClient client;
  private final ControlService control;
  private final Clocks clocks;
  private final long timeoutMillis;

  /** Term in which this member is the leader, or -1 if it is not the leader. */
  private long leadingTerm = -1;

  /**
   * An announced engine; {@code checksFencing} tells whether it refuses outdated fencing numbers.
   */
  public record Engine(String address, boolean checksFencing) {}

  /** The monotonic clock and the UTC clock. */
  public record Clocks(MillisClock monotonic, MillisClock utc) {}

  private record OrderBody(String orderId, long fencing, String action, String model) {}

  /**
   * Creates the service.
   *
   * @param queuedOrders orders without an outcome, in the order of their fencing numbers
   * @param engineLookup returns the announced engine of a name, or empty
   * @param timeoutMillis timeout of one order
   */
  public OrderService(
      OrderController controller,
      Supplier<ControlStatus> status,
      Supplier<List<EngineOrder>> queuedOrders,
      Function<String, Optional<Engine>> engineLookup,
      ServiceClient client,
      ControlService control,
      Clocks clocks,
      long timeoutMillis) {
    this.controller = controller;
    this.status = status;
    this.queuedOrders = queuedOrders;
    this.engineLookup = engineLookup;
    this.client = client;
    this.control = control;
    this.clocks = clocks;
    this.timeoutMillis = timeoutMillis;
  }

  /** Sends the orders that are due; to be called every 100 ms. */
  public void tick() {
    ControlStatus s = status.get();
    List<OrderEffect> effects;
    synchronized (this) {
      long now = clocks.monotonic().nowMillis();
      boolean leads = s.running() && s.role() == Role.LEADER;
      if (leads && leadingTerm != s.term()) {
        controller.becomeLeader(now);
        leadingTerm = s.term();
      } else if (!leads && leadingTerm >= 0) {
        controller.becomeFollower();
        leadingTerm = -1;
      }
      effects =
          controller.tick(
              now,
              s.leaseUntilMillis(),
              queuedOrders.get(),
              name -> engineLookup.apply(name).map(Engine::checksFencing));
    }
    effects.forEach(this::perform);
  }

  private void perform(OrderEffect e) {
    if (e instanceof OrderEffect.Send s) {
      send(s);
    } else if (e instanceof OrderEffect.Finish f) {
      control.submit(f.command());
    }
  }

  private void send(OrderEffect.Send s) {
    EngineOrder o = s.order();
    Optional<Engine> engine = engineLookup.apply(o.engine());
    if (engine.isEmpty()) {
      onResult(o, OrderResult.NOT_SENT, "the engine is not announced");
      return;
    }
    OrderBody body = new OrderBody("order-" + o.fencing(), o.fencing(), o.action(), o.model());
    HttpRequest request =
        HttpRequest.POST("http://" + engine.get().address() + "/v1/orders")
            .withEntity(HttpEntities.create(ContentTypes.APPLICATION_JSON, Json.bytes(body)));
    logger.atInfo().log(
        "order: sending %s %s to %s with fencing number %s",
        o.action(), o.model(), o.engine(), o.fencing());
    client
        .call(
            engine.get().address(),
            request,
            timeoutMillis,
            () -> clocks.monotonic().nowMillis() < s.notAfterMillis())
        .whenComplete(
            (a, e) ->
                onResult(
                    o,
                    toResult(a, e),
                    e == null ? statusDetail(a) : HttpResponses.unwrap(e).toString()));
  }

  private static String statusDetail(ServiceResponse a) {
    return "the engine answered with status " + a.status();
  }

  private static OrderResult toResult(ServiceResponse a, Throwable e) {
    if (e != null) {
      return HttpResponses.unwrap(e) instanceof NotSentException
          ? OrderResult.NOT_SENT
          : OrderResult.UNKNOWN;
    }
    if (a.status() == STATUS_OK) {
      return OrderResult.DONE;
    }
    return a.status() == STATUS_CONFLICT ? OrderResult.SUPERSEDED : OrderResult.FAILED;
  }

  private void onResult(EngineOrder o, OrderResult r, String detail) {
    logger.atInfo().log(
        "order: attempt of order %s on %s ended with %s: %s", o.fencing(), o.engine(), r, detail);
    List<OrderEffect> effects;
    synchronized (this) {
      effects =
          controller.onAttemptResult(
              o, r, detail, clocks.monotonic().nowMillis(), clocks.utc().nowMillis());
    }
    effects.forEach(this::perform);
  }
}
