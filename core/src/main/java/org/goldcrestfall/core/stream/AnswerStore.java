package org.goldcrestfall.core.stream;

import static com.google.common.base.Preconditions.checkArgument;

import java.util.ArrayList;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

/**
 * Stores running and finished answers by workspace and request id, so that a retry joins or replays
 * an answer instead of running the request again. The store is bounded in count, bytes and age. The
 * oldest finished answers are dropped first; if the running ones alone exceed the byte limit, the
 * text of the largest is discarded. Not thread-safe.
 */
public final class AnswerStore {

  /** Rough upper bound on the memory of a token beyond its characters. */
  private static final int TOKEN_BYTES = 48;

  /** Rough upper bound on the memory of an answer beyond its tokens. */
  private static final int ANSWER_BYTES = 256;

  private static final class Answer {
    final String bodyHash;
    final List<String> tokens = new ArrayList<>();
    AnswerState state = AnswerState.RUNNING;
    long bytes = ANSWER_BYTES;
    long finishedAtMillis;

    Answer(String bodyHash) {
      this.bodyHash = bodyHash;
    }
  }

  private final int maxAnswers;
  private final long maxBytes;
  private final long maxAgeMillis;
  private final Map<AnswerKey, Answer> running = new LinkedHashMap<>();
  private final Map<AnswerKey, Answer> finished = new LinkedHashMap<>();
  private long bytes;

  /**
   * Creates an empty store.
   *
   * @param maxAnswers bound on the number of running and finished answers together
   * @param maxBytes bound on the estimated memory of all answers, in bytes
   * @param maxAgeMillis time for which a finished answer is kept
   */
  public AnswerStore(int maxAnswers, long maxBytes, long maxAgeMillis) {
    checkArgument(maxAnswers > 0, "maxAnswers must be positive: %s", maxAnswers);
    checkArgument(
        maxBytes >= ANSWER_BYTES,
        "maxBytes must be at least the overhead of one answer: %s",
        maxBytes);
    this.maxAnswers = maxAnswers;
    this.maxBytes = maxBytes;
    this.maxAgeMillis = maxAgeMillis;
  }

  /** Looks up a request id, and registers it as running if it is unknown. */
  public AnswerLookup begin(AnswerKey key, String bodyHash, long nowMillis) {
    expire(nowMillis);
    Answer a = find(key);
    if (a != null) {
      if (!a.bodyHash.equals(bodyHash)) {
        return AnswerLookup.REUSED;
      }
      return switch (a.state) {
        case RUNNING -> AnswerLookup.JOIN;
        case FINISHED -> AnswerLookup.REPLAY;
        case RUNNING_NOT_KEPT -> AnswerLookup.BUSY;
      };
    }
    if (!makeRoom(1, ANSWER_BYTES)) {
      return AnswerLookup.FULL;
    }
    running.put(key, new Answer(bodyHash));
    bytes += ANSWER_BYTES;
    return AnswerLookup.STARTED;
  }

  /** Appends a token to a running answer. An unknown answer is ignored. */
  public void append(AnswerKey key, String token) {
    Answer a = running.get(key);
    if (a == null || a.state == AnswerState.RUNNING_NOT_KEPT) {
      return;
    }
    long tokenBytes = TOKEN_BYTES + 2L * token.length();
    while (a.state == AnswerState.RUNNING && !makeRoom(0, tokenBytes)) {
      discardLargestText();
    }
    if (a.state == AnswerState.RUNNING) {
      a.tokens.add(token);
      a.bytes += tokenBytes;
      bytes += tokenBytes;
    }
  }

  /** Marks a running answer as complete. One whose text is not kept is dropped. */
  public void finish(AnswerKey key, long nowMillis) {
    Answer a = running.remove(key);
    if (a == null) {
      return;
    }
    if (a.state == AnswerState.RUNNING_NOT_KEPT) {
      bytes -= a.bytes;
      return;
    }
    a.state = AnswerState.FINISHED;
    a.finishedAtMillis = nowMillis;
    finished.put(key, a);
    expire(nowMillis);
  }

  /** Drops a running answer that failed, so that a retry runs the request again. */
  public void abandon(AnswerKey key) {
    Answer a = running.remove(key);
    if (a != null) {
      bytes -= a.bytes;
    }
  }

  /**
   * Returns the tokens from {@code offset} on, or empty if the answer is unknown or its text is not
   * kept.
   */
  public Optional<List<String>> read(AnswerKey key, int offset) {
    checkArgument(offset >= 0, "offset must not be negative: %s", offset);
    Answer a = find(key);
    if (a == null || a.state == AnswerState.RUNNING_NOT_KEPT) {
      return Optional.empty();
    }
    int from = Math.min(offset, a.tokens.size());
    return Optional.of(List.copyOf(a.tokens.subList(from, a.tokens.size())));
  }

  /** Returns the state of an answer, or empty if it is unknown. */
  public Optional<AnswerState> state(AnswerKey key) {
    return Optional.ofNullable(find(key)).map(a -> a.state);
  }

  /** Drops the finished answers that have reached the maximum age. */
  public void expire(long nowMillis) {
    Iterator<Answer> it = finished.values().iterator();
    while (it.hasNext()) {
      Answer a = it.next();
      // Answers are listed in the order in which they finished, so the first one to keep ends the
      // scan.
      if (nowMillis - a.finishedAtMillis < maxAgeMillis) {
        return;
      }
      bytes -= a.bytes;
      it.remove();
    }
  }

  /** Returns the number of running and finished answers. */
  public int size() {
    return running.size() + finished.size();
  }

  /** Returns the estimated memory of all answers in bytes. */
  public long bytes() {
    return bytes;
  }

  private Answer find(AnswerKey key) {
    Answer a = running.get(key);
    return a != null ? a : finished.get(key);
  }

  /** Drops finished answers until the additions fit, and returns whether they do. */
  private boolean makeRoom(int answers, long moreBytes) {
    Iterator<Answer> it = finished.values().iterator();
    while (size() + answers > maxAnswers || bytes + moreBytes > maxBytes) {
      if (!it.hasNext()) {
        return false;
      }
      bytes -= it.next().bytes;
      it.remove();
    }
    return true;
  }

  private void discardLargestText() {
    Answer largest = null;
    for (Answer a : running.values()) {
      if (a.state == AnswerState.RUNNING && (largest == null || a.bytes > largest.bytes)) {
        largest = a;
      }
    }
    largest.state = AnswerState.RUNNING_NOT_KEPT;
    largest.tokens.clear();
    bytes -= largest.bytes - ANSWER_BYTES;
    largest.bytes = ANSWER_BYTES;
  }
}
