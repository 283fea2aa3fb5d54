package org.goldcrestfall.daemon.upstream;

import java.time.Duration;
import java.util.concurrent.TimeoutException;
import org.apache.pekko.stream.Attributes;
import org.apache.pekko.stream.FlowShape;
import org.apache.pekko.stream.Inlet;
import org.apache.pekko.stream.Outlet;
import org.apache.pekko.stream.stage.AbstractInHandler;
import org.apache.pekko.stream.stage.AbstractOutHandler;
import org.apache.pekko.stream.stage.GraphStage;
import org.apache.pekko.stream.stage.GraphStageLogic;
import org.apache.pekko.stream.stage.TimerGraphStageLogic;
import org.goldcrestfall.core.common.MillisClock;

/**
 * Fails a stream whose source does not deliver a requested element in time. Unlike an idle timeout,
 * it does not count the time between elements in which the consumer requests none, so that a slow
 * caller is not mistaken for a failed engine.
 */
final class StallTimeout<T> extends GraphStage<FlowShape<T, T>> {

  private static final String TIMER = "stall";
  private static final int CHECKS_PER_TIMEOUT = 4;

  private final Inlet<T> in = Inlet.create("StallTimeout.in");
  private final Outlet<T> out = Outlet.create("StallTimeout.out");
  private final MillisClock clock;
  private final long timeoutMillis;

  StallTimeout(MillisClock clock, long timeoutMillis) {
    this.clock = clock;
    this.timeoutMillis = timeoutMillis;
  }

  @Override
  public FlowShape<T, T> shape() {
    return FlowShape.of(in, out);
  }

  @Override
  public GraphStageLogic createLogic(Attributes attributes) {
    return new Logic();
  }

  private final class Logic extends TimerGraphStageLogic {

    private long waitingSinceMillis;
    private boolean waiting;

    Logic() {
      super(StallTimeout.this.shape());
      setHandler(
          in,
          new AbstractInHandler() {
            @Override
            public void onPush() {
              waiting = false;
              push(out, grab(in));
            }
          });
      setHandler(
          out,
          new AbstractOutHandler() {
            @Override
            public void onPull() {
              waiting = true;
              waitingSinceMillis = clock.nowMillis();
              pull(in);
            }
          });
    }

    @Override
    public void preStart() {
      // A few checks per timeout are cheaper than a timer for each token.
      scheduleAtFixedRate(
          TIMER,
          Duration.ofMillis(timeoutMillis / CHECKS_PER_TIMEOUT),
          Duration.ofMillis(timeoutMillis / CHECKS_PER_TIMEOUT));
    }

    @Override
    public void onTimer(Object key) {
      if (waiting && clock.nowMillis() - waitingSinceMillis >= timeoutMillis) {
        failStage(new TimeoutException("no token for " + timeoutMillis + " ms"));
      }
    }
  }
}
