package org.goldcrestfall.core.quarantine;

import static org.assertj.core.api.Assertions.assertThat;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableSet;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Optional;
import java.util.Random;
import net.jqwik.api.Example;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import net.jqwik.api.constraints.LongRange;
import net.jqwik.api.lifecycle.BeforeTry;
import org.goldcrestfall.core.common.TokenCount;
import org.goldcrestfall.core.dispatch.PromptPart;
import org.goldcrestfall.core.dispatch.RequestSize;

/**
 * Guards against prompts that crash one upstream after the other, and against refusing sound
 * prompts that were in flight when an upstream crashed.
 */
class PartQuarantineTest {

  private static final String SERVICE = "s";

  private PartQuarantine quarantine;
  private int requests;

  @BeforeTry
  void forgetAllCrashes() {
    quarantine = new PartQuarantine();
  }

  private LostAnswers lost(String upstream, long atMillis, String... parts) {
    return lostRequest("r" + ++requests, upstream, atMillis, Optional.empty(), parts);
  }

  private static LostAnswers lostRequest(
      String request,
      String upstream,
      long atMillis,
      Optional<AnswerProgress> progress,
      String... parts) {
    return new LostAnswers(
        new Crash(SERVICE, upstream, 1),
        atMillis,
        Arrays.stream(parts)
            .map(p -> new PartLoss(p, ImmutableSet.of(request), progress))
            .collect(ImmutableList.toImmutableList()));
  }

  private void crash(String upstream, long atMillis, String... parts) {
    quarantine.update(List.of(lost(upstream, atMillis, parts)), List.of(), atMillis);
  }

  /** Records the loss of an answer that had been written for some time, an event every 10 ms. */
  private void crashAfter(long writtenMillis, String upstream, long atMillis, String... parts) {
    var progress = Optional.of(new AnswerProgress(writtenMillis, 1 + writtenMillis / 10));
    var lost = lostRequest("r" + ++requests, upstream, atMillis, progress, parts);
    quarantine.update(List.of(lost), List.of(), atMillis);
  }

  private void answer(String part, long atMillis) {
    quarantine.update(
        List.of(), List.of(SoundAnswer.ended(new ServicePart(SERVICE, part))), atMillis);
  }

  /** Records that an answer is still being written, with an event every 10 ms. */
  private void written(String part, long writtenMillis, long atMillis) {
    var progress = new AnswerProgress(writtenMillis, 1 + writtenMillis / 10);
    var answer = new SoundAnswer(new ServicePart(SERVICE, part), Optional.of(progress));
    quarantine.update(List.of(), List.of(answer), atMillis);
  }

  private List<String> refusedParts() {
    return quarantine.suspects().stream()
        .filter(s -> s.quarantinedAtMillis() != 0)
        .map(s -> s.part().part())
        .toList();
  }

  @Example
  void partIsRefusedAfterThreeUpstreamsCrashedUnderIt() {
    crash("u1", 1_000, "workspace", "bad");
    answer("workspace", 1_100);
    crash("u2", 2_000, "workspace", "bad");
    assertThat(refusedParts()).isEmpty();
    answer("workspace", 2_100);
    crash("u3", 3_000, "workspace", "bad", "plan");
    assertThat(refusedParts()).containsExactly("bad");
  }

  @Example
  void partWithWhichAnAnswerHasEndedIsClearedAndItsCrashesCountNoMore() {
    crash("u1", 1_000, "a");
    crash("u2", 2_000, "a");
    answer("a", 2_500);
    crash("u3", 3_000, "a");
    assertThat(refusedParts()).isEmpty();
    crash("u4", 4_000, "a");
    crash("u5", 5_000, "a");
    assertThat(refusedParts()).containsExactly("a");
    answer("a", 5_100);
    assertThat(quarantine.suspects()).isEmpty();
  }

  private static RequestSize prompt(String... parts) {
    ImmutableList.Builder<PromptPart> out = ImmutableList.builder();
    for (String p : parts) {
      out.add(new PromptPart(p, TokenCount.of(10)));
    }
    return new RequestSize(
        TokenCount.of(10 * parts.length),
        TokenCount.of(5),
        out.add(new PromptPart("own", TokenCount.of(10))).build());
  }

  private boolean refuses(String... parts) {
    return QuarantineView.of(7, quarantine.suspects())
        .quarantineMillis(SERVICE, prompt(parts), 10_000)
        .isPresent();
  }

  /**
   * Guards against refusing sound prompts that share a rare part with those that crash upstreams:
   * no answer may have cleared it before the third crash.
   */
  @Example
  void partsThatWereLostTogetherAreRefusedOnlyTogetherUntilOneIsCleared() {
    for (int u = 1; u <= 3; u++) {
      crash("u" + u, 1_000 * u, "plan", "bad");
    }
    assertThat(refuses("plan", "bad", "more")).isTrue();
    assertThat(refuses("plan", "other")).isFalse();
    answer("plan", 3_500);
    assertThat(refuses("other", "bad")).isTrue();
    assertThat(refuses("plan", "other")).isFalse();
  }

  @Example
  void partThatWasLostInMoreCrashesThanItsCompanionIsRefusedAlone() {
    for (int u = 1; u <= 3; u++) {
      crash("u" + u, 1_000 * u, "plan", "bad");
    }
    crash("u4", 4_000, "other", "bad");
    assertThat(refuses("bad")).isTrue();
    assertThat(refuses("plan")).isFalse();
  }

  /** Guards against refusing common prompts after repeated outages of a whole service. */
  @Example
  void simultaneousCrashesOfManyUpstreamsBlameNoPart() {
    for (int outage = 1; outage <= 5; outage++) {
      for (int u = 0; u < 6; u++) {
        crash("u" + outage + u, outage * 10_000 + u * 10, "common");
      }
    }
    assertThat(refusedParts()).isEmpty();
  }

  /**
   * Guards against sending prompts that crash upstreams again after many other requests were lost:
   * two parts whose crashes are no longer kept must not be refused only together.
   */
  @Example
  void partsStayRefusedWhenTheirCrashesAreNoLongerKept() {
    for (int u = 1; u <= 3; u++) {
      crash("u" + u, 1_000 * u, "bad1");
    }
    for (int u = 4; u <= 6; u++) {
      crash("u" + u, 1_000 * u, "bad2");
    }
    for (int i = 0; i < 1_000; i++) {
      crash("v" + i, 7_000 + i, "sound" + i);
    }
    assertThat(refuses("bad1")).isTrue();
    assertThat(refuses("bad2")).isTrue();
  }

  /**
   * Guards against a part that crashes all upstreams within half a second being taken for an
   * outage: it would crash each of them again when they are back.
   */
  @Example
  void crashesInQuickSuccessionAreNoOutage() {
    for (int u = 1; u <= 7; u++) {
      crash("u" + u, 1_000 + 50 * u, "workspace", "bad");
      answer("workspace", 1_010 + 50 * u);
    }
    assertThat(refusedParts()).containsExactly("bad");
  }

  @Example
  void crashesUnderRepeatsOfOneRequestBlameNoSharedPart() {
    for (int u = 1; u <= 4; u++) {
      var report = lostRequest("only", "u" + u, 1_000 * u, Optional.empty(), "shared");
      quarantine.update(List.of(report), List.of(), 1_000 * u);
    }
    assertThat(refusedParts()).isEmpty();
  }

  @Example
  void repeatedReportOfTheSameLostRequestChangesNothing() {
    LostAnswers report = lost("u1", 1_000, "a");
    assertThat(quarantine.update(List.of(report), List.of(), 1_000)).isTrue();
    assertThat(quarantine.update(List.of(report), List.of(), 1_200)).isFalse();
    assertThat(quarantine.crashes()).hasSize(1);
  }

  @Example
  void quarantineEndsAfterItsTime() {
    for (int u = 1; u <= 3; u++) {
      crash("u" + u, 1_000 * u, "bad");
    }
    RequestSize size = prompt("bad");
    QuarantineView view = QuarantineView.of(7, quarantine.suspects());
    assertThat(view.quarantineMillis(SERVICE, size, 4_000)).hasValue(599_000);
    assertThat(view.quarantineMillis("other", size, 4_000)).isEmpty();
    assertThat(view.quarantineMillis(SERVICE, size, 604_000)).isEmpty();
    crash("u9", 700_000, "other");
    assertThat(refusedParts()).isEmpty();
  }

  private static SoundAnswer ended(String part) {
    return SoundAnswer.ended(new ServicePart(SERVICE, part));
  }

  /** Returns the progress of an answer that may have begun. */
  private static Optional<AnswerProgress> progress(Random random) {
    return random.nextInt(3) == 0
        ? Optional.empty()
        : Optional.of(new AnswerProgress(random.nextInt(3_000), 1 + random.nextInt(100)));
  }

  /**
   * Guards against more than five crashes under one part, and against refusing parts that share
   * prompts with it: the sound ones are answered between the crashes.
   */
  @Property(tries = 300)
  void onlyThePartThatCrashesUpstreamsIsRefusedWithinFiveCrashes(
      @ForAll Random random, @ForAll @IntRange(min = 1, max = 6) int soundParts) {
    PartQuarantine q = new PartQuarantine();
    long now = 1_000;
    for (int crash = 1; crash <= 5; crash++) {
      now += 200 + random.nextInt(3_000);
      List<LostAnswers> lost = new ArrayList<>();
      List<SoundAnswer> sound = new ArrayList<>();
      for (int i = 0; i < soundParts; i++) {
        String part = "p" + random.nextInt(10);
        sound.add(ended(part));
        lost.add(
            lostRequest(
                "c" + crash + "-" + i, "u" + crash, now, progress(random), "workspace", part));
      }
      lost.add(
          lostRequest("k" + crash, "u" + crash, now, progress(random), "workspace", "bad", "p1"));
      sound.add(ended("p1"));
      sound.add(ended("workspace"));
      q.update(lost, List.of(), now);
      q.update(List.of(), sound, now + 100);
    }
    assertThat(q.suspects()).hasSize(1);
    assertThat(q.suspects().get(0).part()).isEqualTo(new ServicePart(SERVICE, "bad"));
    assertThat(q.suspects().get(0).quarantinedAtMillis()).isPositive();
  }

  /**
   * Guards against a part that crashes upstreams after the first event of an answer, after many or
   * with the last one: it was never suspect, so that the crashes went on (review/15).
   */
  @Property(tries = 50)
  void partThatCrashesUpstreamsAfterAnyTimeIsRefused(
      @ForAll @LongRange(min = 0, max = 20_000) long writtenMillis) {
    for (int u = 1; u <= 3; u++) {
      long at = 100_000 + 2_000 * u;
      crashAfter(writtenMillis, "u" + u, at, "workspace", "bad");
      written("bad", writtenMillis / 2, at + 100);
      answer("workspace", at + 200);
    }
    assertThat(refusedParts()).containsExactly("bad");
  }

  /** Guards against a part that is cleared by the first event of an answer that crashes as well. */
  @Example
  void answerThatHasJustBegunClearsNoPart() {
    for (int u = 1; u <= 3; u++) {
      crash("u" + u, 1_000 * u, "bad");
      written("bad", 10, 1_000 * u + 10);
    }
    assertThat(refusedParts()).containsExactly("bad");
  }

  /**
   * Guards against holding back a sound part while upstreams are killed one after the other: no
   * answer has ended, but those on the other upstreams go on.
   */
  @Example
  void answersThatGoOnForClearlyLongerClearTheirPart() {
    for (int u = 1; u <= 6; u++) {
      long age = 500L + 1_000 * u;
      crashAfter(age, "u" + u, 1_000 * u, "workspace", "plan");
      written("workspace", age + 500, 1_000 * u + 500);
      written("plan", age + 500, 1_000 * u + 500);
    }
    assertThat(refusedParts()).isEmpty();
  }

  /** Guards against engines under load, which write fewer events in the same time. */
  @Example
  void answerThatIsLongerInTimeAloneIsNoEvidence() {
    for (int u = 1; u <= 3; u++) {
      crashAfter(1_000, "u" + u, 10_000 * u, "bad");
      var slow = new AnswerProgress(5_000, 101);
      var answer = new SoundAnswer(new ServicePart(SERVICE, "bad"), Optional.of(slow));
      quarantine.update(List.of(), List.of(answer), 10_000 * u + 5_000);
    }
    assertThat(refusedParts()).containsExactly("bad");
  }

  /**
   * Guards against holding back a workspace while upstreams are killed one after the other and its
   * answers take longer than that: its part is on each upstream whatever the reason of the kill.
   */
  @Example
  void partOfSeveralLostAnswersIsRefusedAfterFiveCrashesAndOneOfSingleOnesAfterThree() {
    for (int u = 1; u <= 5; u++) {
      assertThat(refusedParts()).doesNotContain("workspace");
      crashAfter(5_000, "u" + u, 1_000 * u, "workspace", "bad");
      crashAfter(4_000, "u" + u, 1_000 * u, "workspace");
      assertThat(refusedParts().contains("bad")).isEqualTo(u >= 3);
    }
    assertThat(refusedParts()).contains("workspace");
  }

  /** Guards against refusing what 40 open streams share after their upstream was killed twice. */
  @Example
  void upstreamThatIsKilledTwiceBlamesNoPart() {
    for (int kill = 1; kill <= 2; kill++) {
      for (int stream = 0; stream < 40; stream++) {
        crashAfter(50 * stream, "u" + kill, 5_000 * kill, "workspace", "session" + stream % 7);
      }
    }
    assertThat(refusedParts()).isEmpty();
  }

  /**
   * Guards against refusing a part that was on the upstreams by chance when two others crashed them
   * in turn.
   */
  @Example
  void partWhoseCrashesTwoOthersExplainIsNotRefused() {
    for (int u = 1; u <= 6; u++) {
      String bad = u % 2 == 0 ? "bad1" : "bad2";
      crashAfter(10, "u" + u, 1_000 * u, u <= 3 ? new String[] {bad, "plan"} : new String[] {bad});
    }
    assertThat(refusedParts()).containsExactlyInAnyOrder("bad1", "bad2");
  }

  /** Guards against a quarantine that outlives the proof that the part is sound. */
  @Example
  void answerThatEndsEndsTheQuarantineOfItsPart() {
    for (int u = 1; u <= 4; u++) {
      crashAfter(3_000, "u" + u, 1_000 * u, "plan");
    }
    assertThat(refusedParts()).containsExactly("plan");
    answer("plan", 5_000);
    assertThat(quarantine.suspects()).isEmpty();
  }

  /** Guards against updates whose size grows with all parts of all answers that were lost. */
  @Example
  void crashesUnderManyPartsPublishTheMostSuspectOnes() {
    for (int i = 0; i < 1_000; i++) {
      crashAfter(10, "u" + i % 5, 1_000 * (i % 5), "session" + i, i % 5 < 2 ? "plan" : "other" + i);
    }
    assertThat(quarantine.suspects()).hasSizeLessThan(100);
    assertThat(quarantine.suspects()).anyMatch(s -> s.part().part().equals("plan"));
  }

  @Example
  void restoredStateDecidesLikeTheOriginal() {
    Random random = new Random(7);
    PartQuarantine restored = new PartQuarantine();
    for (int i = 0; i < 500; i++) {
      long now = 1_000 + 50L * i;
      String part = "p" + random.nextInt(20);
      List<LostAnswers> lost =
          List.of(
              lostRequest(
                  "r" + i, "u" + random.nextInt(40), now, progress(random), part, "workspace"));
      List<SoundAnswer> sound =
          random.nextInt(3) > 0
              ? List.of()
              : List.of(
                  new SoundAnswer(
                      new ServicePart(SERVICE, "p" + random.nextInt(20)), progress(random)));
      assertThat(restored.update(lost, sound, now)).isEqualTo(quarantine.update(lost, sound, now));
      assertThat(restored.suspects()).isEqualTo(quarantine.suspects());
      if (random.nextInt(10) == 0) {
        restored.restore(quarantine.crashes(), quarantine.parts());
      }
    }
  }
}
