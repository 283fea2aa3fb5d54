package org.goldcrestfall.daemon.control;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import net.jqwik.api.Example;
import org.goldcrestfall.core.common.MillisClock;
import org.goldcrestfall.wire.generated.Body;
import org.goldcrestfall.wire.generated.Body.KindCase;

/** Tests the choice of the member that {@link ControlClient} calls first. */
class ControlClientTest {

  private static final long CALL_TIMEOUT_MILLIS = 300;

  /**
   * Guards against calls that keep starting at a member that accepts them and never answers: a
   * suspended leader once stopped all commits for 6 s although another member had become leader.
   */
  @Example
  void nextCallDoesNotStartAtMemberThatDidNotAnswer() throws Exception {
    FakeNetwork network = new FakeNetwork();
    network
        .connect("a", "a:1")
        .registerHandler(KindCase.CONTROL_CALL, (sender, body) -> new CompletableFuture<>());
    Body done =
        Body.newBuilder().setControlResult(ControlHandlers.okResult(new byte[] {7})).build();
    network
        .connect("b", "b:1")
        .registerHandler(
            KindCase.CONTROL_CALL, (s, body) -> CompletableFuture.completedFuture(done));
    ControlClient client =
        new ControlClient(
            List.of("a:1", "b:1"), network.connect("c", "c:1"), MillisClock.monotonic(), null);
    assertThatThrownBy(
            () -> client.submit(new byte[0], CALL_TIMEOUT_MILLIS).get(20, TimeUnit.SECONDS))
        .hasCauseInstanceOf(UnknownOutcomeException.class);
    assertThat(client.submit(new byte[0], CALL_TIMEOUT_MILLIS).get(20, TimeUnit.SECONDS))
        .containsExactly(7);
  }
}
