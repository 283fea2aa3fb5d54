package org.goldcrestfall.core.stream;

import static com.google.common.base.Preconditions.checkState;

import com.google.common.hash.Hashing;
import java.nio.charset.StandardCharsets;
import java.util.Arrays;

/**
 * Assembles one complete answer in order from the tokens of one or several attempts. Each attempt
 * either resumes after the last forwarded token or restarts, in which case the tokens already
 * forwarded are skipped. Duplicates, gaps, events of earlier attempts and events of other requests
 * are rejected. The hashes of skipped tokens are compared with those of the forwarded ones, so that
 * a restart that generates another text is detected. Not thread-safe.
 */
public final class StreamAssembler {

  private final String requestId;
  private int attempt;
  private boolean active;
  private boolean complete;

  /** Offset of the next token of the current attempt. */
  private long expectedOffset;

  private int forwardedTokens;
  private int[] tokenHashes = new int[64];

  /** Creates an assembler that has forwarded no token. */
  public StreamAssembler(String requestId) {
    this.requestId = requestId;
  }

  /**
   * Starts the next attempt. The events of all earlier attempts are rejected from now on.
   *
   * @param supportsResume whether the engine supports {@code resume_from}
   * @throws IllegalStateException if the answer is already complete
   */
  public AttemptStart startAttempt(boolean supportsResume) {
    checkState(!complete, "answer to request %s is already complete", requestId);
    attempt++;
    active = true;
    expectedOffset = supportsResume ? forwardedTokens : 0;
    return new AttemptStart(attempt, expectedOffset);
  }

  /** Applies an event and returns what the caller has to do with it. */
  public StreamResult onEvent(StreamEvent event) {
    if (!active || event.attempt() != attempt) {
      return StreamResult.LATE;
    }
    if (!event.requestId().equals(requestId)) {
      return fail(StreamResult.FOREIGN);
    }
    if (event instanceof StreamEvent.Token t) {
      return onToken(t);
    }
    if (event instanceof StreamEvent.End e) {
      // The announced length detects a stream whose last tokens were lost.
      if (e.tokens() != forwardedTokens || expectedOffset != forwardedTokens) {
        return fail(StreamResult.GAP);
      }
      active = false;
      complete = true;
      return StreamResult.COMPLETE;
    }
    return fail(StreamResult.BROKEN);
  }

  /** Returns the number of forwarded tokens. */
  public int forwardedTokens() {
    return forwardedTokens;
  }

  /** Returns whether the answer is complete. */
  public boolean complete() {
    return complete;
  }

  /** Returns the number of the current attempt, or 0 before the first. */
  public int attempt() {
    return attempt;
  }

  private StreamResult onToken(StreamEvent.Token token) {
    if (token.offset() > expectedOffset) {
      return fail(StreamResult.GAP);
    }
    if (token.offset() == expectedOffset) {
      expectedOffset++;
    }
    int hash = hash(token.text());
    if (token.offset() < forwardedTokens) {
      boolean equal = tokenHashes[(int) token.offset()] == hash;
      return equal ? StreamResult.SKIPPED : fail(StreamResult.DIVERGED);
    }
    if (forwardedTokens == tokenHashes.length) {
      tokenHashes = Arrays.copyOf(tokenHashes, 2 * forwardedTokens);
    }
    tokenHashes[forwardedTokens++] = hash;
    return StreamResult.PASS;
  }

  private StreamResult fail(StreamResult result) {
    active = false;
    return result;
  }

  private static int hash(String text) {
    return Hashing.murmur3_32_fixed().hashString(text, StandardCharsets.UTF_8).asInt();
  }
}
