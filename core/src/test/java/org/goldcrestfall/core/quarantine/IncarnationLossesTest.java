package org.goldcrestfall.core.quarantine;

import static org.assertj.core.api.Assertions.assertThat;

import com.google.common.collect.ImmutableList;
import java.util.Optional;
import net.jqwik.api.Example;
import org.goldcrestfall.core.quarantine.IncarnationLosses.Answer;

/** Guards against crashes that are not recognized, and against other losses taken for crashes. */
class IncarnationLossesTest {

  private final IncarnationLosses losses = new IncarnationLosses();

  private static Answer answer(String request, long writtenMillis, String... parts) {
    return new Answer(
        request,
        ImmutableList.copyOf(parts),
        Optional.of(new AnswerProgress(writtenMillis, 1 + writtenMillis / 10)));
  }

  @Example
  void lostAnswersAreCountedByPartWithTheLongestOfThem() {
    losses.onLost(answer("r1", 500, "a", "b"), 1_000);
    losses.onLost(answer("r2", 900, "a"), 1_002);
    losses.onLost(answer("r3", 700, "a"), 1_003);
    ImmutableList<PartLoss> lost = losses.takeLostInCrash(1_010);
    assertThat(lost).extracting(PartLoss::part).containsExactly("a", "b");
    assertThat(lost.get(0).longest()).contains(new AnswerProgress(900, 91));
    assertThat(lost.get(0).requests()).containsExactly("r1", "r2");
    assertThat(lost.get(1).requests()).containsExactly("r1");
    assertThat(losses.takeLostInCrash(1_020)).isEmpty();
  }

  /** Guards against an upstream that crashes with the last byte of an answer. */
  @Example
  void answerThatEndedJustBeforeTheCrashIsLostAndNoEvidenceForItsParts() {
    losses.onEnded(answer("r1", 500, "a"), 1_000);
    losses.onConnectionOpen(0, 1_100);
    assertThat(losses.takeSurvived()).isEmpty();
    assertThat(losses.takeLostInCrash(1_110)).extracting(PartLoss::part).containsExactly("a");
  }

  @Example
  void answerThatTheUpstreamSurvivedIsEvidenceForItsParts() {
    losses.onEnded(answer("r1", 500, "a"), 1_000);
    losses.onConnectionOpen(900, 1_200);
    assertThat(losses.takeSurvived()).containsExactly(answer("r1", 500, "a"));
    assertThat(losses.takeSurvived()).isEmpty();
    assertThat(losses.takeLostInCrash(1_300)).isEmpty();
  }

  /** Guards against blaming prompts for connections that an upstream resets while it lives on. */
  @Example
  void lostAnswerThatTheUpstreamSurvivedIsNotLostInLaterCrash() {
    losses.onLost(answer("r1", 500, "a"), 1_000);
    losses.onConnectionOpen(900, 1_200);
    assertThat(losses.isUndecided(1_200)).isFalse();
    assertThat(losses.takeLostInCrash(1_300)).isEmpty();
  }

  /** Guards against an upstream that starts again before anybody finds its address closed. */
  @Example
  void connectionThatWasOpenedLaterMayBelongToTheNextIncarnation() {
    losses.onLost(answer("r1", 500, "a"), 1_000);
    losses.onConnectionOpen(1_050, 2_500);
    assertThat(losses.takeLostInCrash(2_600)).extracting(PartLoss::part).containsExactly("a");
  }

  @Example
  void connectionThatWasOpenedLaterIsEvidenceOnceRestartWouldBeKnown() {
    losses.onEnded(answer("r1", 500, "a"), 1_000);
    losses.onConnectionOpen(1_050, 1_000 + IncarnationLosses.RESTART_NEWS_MILLIS);
    assertThat(losses.takeSurvived()).hasSize(1);
  }

  @Example
  void lossThatNeverTurnsOutToBeCrashIsForgotten() {
    losses.onLost(answer("r1", 500, "a"), 1_000);
    assertThat(losses.isUndecided(1_000 + IncarnationLosses.UNDECIDED_MILLIS)).isTrue();
    assertThat(losses.isUndecided(1_001 + IncarnationLosses.UNDECIDED_MILLIS)).isFalse();
  }
}
