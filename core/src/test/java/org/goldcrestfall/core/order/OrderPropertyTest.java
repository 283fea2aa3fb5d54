package org.goldcrestfall.core.order;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.TreeMap;
import net.jqwik.api.Example;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.Size;
import org.goldcrestfall.core.control.ControlCommand.FinishOrder;
import org.goldcrestfall.core.control.ControlStateHarness;
import org.goldcrestfall.core.control.EngineOrder;
import org.goldcrestfall.core.control.Intent;

/** Guards engines that do not check fencing numbers against late orders of a replaced leader. */
final class OrderPropertyTest {

  private static final OrderSettings SETTINGS = new OrderSettings(1_000, 3_000, 600, 2, 2);

  /** A control member; its lease may still be valid after the next leader is elected. */
  private static final class Member {
    final OrderController controller = new OrderController(SETTINGS);
    long leaseUntil;
  }

  @Property(tries = 300, seed = "20261205")
  void engineWithoutFencingChecksExecutesOrdersInFencingOrder(
      @ForAll @Size(min = 60, max = 250) List<Integer> steps) {
    ControlStateHarness group = new ControlStateHarness();
    List<Member> members = List.of(new Member(), new Member(), new Member());
    TreeMap<Long, List<Runnable>> executionsByTime = new TreeMap<>();
    List<Long> executed = new ArrayList<>();
    Member leader = members.get(0);
    leader.controller.becomeLeader(0);
    long now = 0;
    for (int step : steps) {
      final int choice = Math.floorMod(step, 1 << 20);
      now += choice % 211;
      if (choice % 13 == 0) {
        group.planAndConfirm(new Intent.OrderEngine("e1", "change_role", "m" + choice));
      } else if (choice % 29 == 0) {
        leader = members.get(choice / 29 % 3);
        leader.controller.becomeLeader(now);
      }
      leader.leaseUntil = now + SETTINGS.leaseMillis();
      while (!executionsByTime.isEmpty() && executionsByTime.firstKey() <= now) {
        executionsByTime.pollFirstEntry().getValue().forEach(Runnable::run);
      }
      for (Member m : members) {
        List<EngineOrder> queued = group.state().queuedOrders();
        List<OrderEffect> effects =
            m.controller.tick(now, m.leaseUntil, queued, e -> Optional.of(false));
        effects.addAll(simulateSends(m, effects, now, choice, executionsByTime, executed));
        for (OrderEffect e : effects) {
          if (e instanceof OrderEffect.Finish f && m == leader) {
            group.apply(f.command());
          }
        }
      }
    }
    assertThat(executed).isSorted();
  }

  private static List<OrderEffect> simulateSends(
      Member m,
      List<OrderEffect> effects,
      long now,
      int choice,
      TreeMap<Long, List<Runnable>> executionsByTime,
      List<Long> executed) {
    List<OrderEffect> followUps = new ArrayList<>();
    for (OrderEffect e : effects) {
      if (e instanceof OrderEffect.Send s) {
        long executeAt = now + choice % SETTINGS.orderTimeoutMillis();
        boolean answers = choice % 3 > 0;
        Runnable execute =
            () -> {
              executed.add(s.order().fencing());
              if (answers) {
                m.controller.onAttemptResult(s.order(), OrderResult.DONE, "", executeAt, 0);
              }
            };
        executionsByTime.computeIfAbsent(executeAt, k -> new ArrayList<>()).add(execute);
        if (!answers) {
          followUps.addAll(
              m.controller.onAttemptResult(s.order(), OrderResult.UNKNOWN, "", now, 0));
        }
      }
    }
    return followUps;
  }

  @Example
  void engineWithFencingChecksIsNotDelayedAndLoadsKeepToTheRateOfTheWeightStore() {
    OrderController c = new OrderController(new OrderSettings(1_000, 3_000, 6, 1, 1));
    c.becomeLeader(0);
    List<EngineOrder> queued =
        List.of(order(5, "e1", "load_model"), order(6, "e2", "load_model"), order(7, "e3", "role"));
    // Each element is the fencing number times 100,000 plus the sending time in milliseconds.
    List<Long> sent = new ArrayList<>();
    for (long now = 0; now <= 20_000; now += 500) {
      for (OrderEffect e : c.tick(now, now + 1, queued, n -> Optional.of(true))) {
        sent.add(((OrderEffect.Send) e).order().fencing() * 100_000 + now);
      }
    }
    assertThat(sent).containsExactly(700_000L, 510_000L, 620_000L);
  }

  @Example
  void nothingIsSentOutsideTheLeaseAndFinishIsProposedUntilTheOrderLeavesTheQueue() {
    OrderController c = new OrderController(SETTINGS);
    EngineOrder o = order(5, "e1", "role");
    assertThat(c.tick(0, 1_000, List.of(o), n -> Optional.of(true))).isEmpty();
    c.becomeLeader(0);
    assertThat(c.tick(1_000, 1_000, List.of(o), n -> Optional.of(true))).isEmpty();
    assertThat(c.tick(999, 1_000, List.of(o), n -> Optional.empty())).isEmpty();
    assertThat(c.tick(999, 1_000, List.of(o), n -> Optional.of(true)))
        .containsExactly(new OrderEffect.Send(o, 1_000));
    OrderEffect finish = new OrderEffect.Finish(new FinishOrder(5, true, "ok", 9));
    assertThat(c.onAttemptResult(o, OrderResult.DONE, "ok", 1_500, 9)).containsExactly(finish);
    assertThat(c.tick(2_000, 9_000, List.of(o), n -> Optional.of(true))).isEmpty();
    assertThat(c.tick(2_500, 9_000, List.of(o), n -> Optional.of(true))).containsExactly(finish);
    assertThat(c.tick(3_500, 9_000, List.of(), n -> Optional.of(true))).isEmpty();
  }

  private static EngineOrder order(long fencing, String engine, String action) {
    return new EngineOrder(fencing, engine, action, "m", EngineOrder.State.QUEUED, "", 0, 0);
  }
}
