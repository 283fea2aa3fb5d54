package org.goldcrestfall.core.quarantine;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableSet;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

/**
 * Decides which answers a router lost in the crash of one incarnation of an upstream. An answer
 * whose connection failed was lost in a crash only if its upstream has crashed; as long as this is
 * not known, it is neither evidence for nor against its prompt. An answer that has ended shows that
 * its prompt is sound only once its upstream has lived on for a while, as it may crash with the
 * last byte. Deterministic and not thread-safe.
 */
public final class IncarnationLosses {

  /** Time that an upstream must live after an event to have survived it. */
  public static final long SURVIVAL_MILLIS = 200;

  /**
   * Time within which it becomes known that an upstream has started again. Until then, an upstream
   * that accepts connections may be another incarnation.
   */
  static final long RESTART_NEWS_MILLIS = 5_000;

  /** Time for which lost answers are kept while it is not known whether the upstream crashed. */
  static final long UNDECIDED_MILLIS = 10_000;

  private static final int MAX_ANSWERS = 100;

  /**
   * An answer, or a request that got none.
   *
   * @param request the id of the request
   * @param parts the ids of the shared parts of its prompt
   * @param progress how far the answer was written; empty if it had not begun
   */
  public record Answer(
      String request, ImmutableList<String> parts, Optional<AnswerProgress> progress) {}

  private record Timed(Answer answer, long atMillis) {}

  private final Deque<Timed> lost = new ArrayDeque<>();
  private final Deque<Timed> ended = new ArrayDeque<>();
  private final List<Answer> survived = new ArrayList<>();

  /** Records an answer whose connection failed. */
  public void onLost(Answer answer, long nowMillis) {
    add(lost, answer, nowMillis);
  }

  /** Records an answer that has ended as it should. */
  public void onEnded(Answer answer, long nowMillis) {
    add(ended, answer, nowMillis);
  }

  private static void add(Deque<Timed> answers, Answer answer, long nowMillis) {
    if (answers.size() == MAX_ANSWERS) {
      answers.removeFirst();
    }
    answers.addLast(new Timed(answer, nowMillis));
  }

  /**
   * Records that a connection to the upstream is open, which a crash would have closed.
   *
   * @param openedAtMillis the time since which the eldest open connection has been established
   */
  public void onConnectionOpen(long openedAtMillis, long nowMillis) {
    lost.removeIf(t -> isSurvived(t, openedAtMillis, nowMillis));
    ended.removeIf(t -> isSurvived(t, openedAtMillis, nowMillis) && survived.add(t.answer()));
    while (survived.size() > MAX_ANSWERS) {
      survived.remove(0);
    }
  }

  private static boolean isSurvived(Timed answer, long openedAtMillis, long nowMillis) {
    long age = nowMillis - answer.atMillis();
    return age >= (openedAtMillis <= answer.atMillis() ? SURVIVAL_MILLIS : RESTART_NEWS_MILLIS);
  }

  /** Removes and returns the answers that have ended and that the upstream has survived. */
  public List<Answer> takeSurvived() {
    List<Answer> out = List.copyOf(survived);
    survived.clear();
    return out;
  }

  /** Returns whether a crash of the upstream would be evidence against any part. */
  public boolean isUndecided(long nowMillis) {
    lost.removeIf(t -> nowMillis - t.atMillis() > UNDECIDED_MILLIS);
    ended.removeIf(t -> nowMillis - t.atMillis() > UNDECIDED_MILLIS);
    return !lost.isEmpty() || !ended.isEmpty();
  }

  /**
   * Returns the losses of each prompt part after it has become known that the upstream has crashed,
   * and forgets the answers.
   */
  public ImmutableList<PartLoss> takeLostInCrash(long nowMillis) {
    Map<String, PartLoss> byPart = new LinkedHashMap<>();
    if (isUndecided(nowMillis)) {
      lost.forEach(t -> addLosses(t.answer(), byPart));
      ended.forEach(t -> addLosses(t.answer(), byPart));
    }
    lost.clear();
    ended.clear();
    return ImmutableList.copyOf(byPart.values());
  }

  private static void addLosses(Answer answer, Map<String, PartLoss> byPart) {
    for (String part : answer.parts()) {
      PartLoss loss = new PartLoss(part, ImmutableSet.of(answer.request()), answer.progress());
      byPart.merge(part, loss, PartLoss::plus);
    }
  }
}
