package org.goldcrestfall.daemon.gateway;

import com.google.common.collect.ImmutableList;
import com.google.common.flogger.FluentLogger;
import io.netty.channel.EventLoop;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import org.goldcrestfall.core.common.MillisClock;
import org.goldcrestfall.core.dispatch.PromptPart;
import org.goldcrestfall.core.dispatch.RequestSize;
import org.goldcrestfall.core.quarantine.AnswerProgress;
import org.goldcrestfall.core.quarantine.Crash;
import org.goldcrestfall.core.quarantine.IncarnationLosses;
import org.goldcrestfall.core.quarantine.LostAnswers;
import org.goldcrestfall.core.quarantine.PartLoss;
import org.goldcrestfall.core.quarantine.QuarantineView;
import org.goldcrestfall.core.quarantine.ServicePart;
import org.goldcrestfall.core.quarantine.SoundAnswer;
import org.goldcrestfall.core.quarantine.SuspectPart;
import org.goldcrestfall.core.registry.UpstreamEntry;
import org.goldcrestfall.daemon.site.CrashReporter;

/**
 * A router's knowledge of the prompt parts that crash upstreams. Reports the answers that were lost
 * in a crash, and those that show that a suspect part is sound. Confined to the event loop.
 */
final class PromptQuarantine implements CrashSigns {

  private static final FluentLogger logger = FluentLogger.forEnclosingClass();

  /** Number of shared parts of a prompt that are reported; all daemons keep them. */
  private static final int MAX_REPORTED_PARTS = 32;

  /** Interval at which answers are looked at that may have been lost, while parts are suspect. */
  private static final long CHECK_INTERVAL_MILLIS = 100;

  /** The same interval while no part is suspect. */
  private static final long IDLE_CHECK_INTERVAL_MILLIS = 1_000;

  private final UpstreamConnections upstreams;
  private final CrashReporter reporter;
  private final EventLoop loop;
  private final MillisClock wallClock = MillisClock.utc();
  private final Set<Upstream> undecided = new HashSet<>();
  private final Set<Upstream> beingChecked = new HashSet<>();

  /** Parts in quarantine that an answer of this router has cleared, with the quarantine's start. */
  private final Map<ServicePart, Long> cleared = new HashMap<>();

  private QuarantineView view = QuarantineView.EMPTY;
  private long checkAtMillis = Long.MAX_VALUE;

  PromptQuarantine(UpstreamConnections upstreams, CrashReporter reporter, EventLoop loop) {
    this.upstreams = upstreams;
    this.reporter = reporter;
    this.loop = loop;
    upstreams.onCrashSigns(this);
  }

  /** Applies a newer view of the control group. */
  void update(QuarantineView next) {
    for (SuspectPart s : next.parts().values()) {
      SuspectPart before = view.parts().get(s.part());
      if (s.quarantinedAtMillis() != 0
          && (before == null || before.quarantinedAtMillis() != s.quarantinedAtMillis())) {
        logger.atWarning().log(
            "quarantine: requests with part %s are refused at service %s, as upstreams %s crashed",
            s.part().part(), s.part().service(), s.upstreams());
      }
    }
    for (SuspectPart s : view.parts().values()) {
      SuspectPart after = next.parts().get(s.part());
      if (s.quarantinedAtMillis() != 0 && (after == null || after.quarantinedAtMillis() == 0)) {
        logger.atInfo().log(
            "quarantine: requests with part %s are no longer refused at service %s",
            s.part().part(), s.part().service());
      }
    }
    cleared.keySet().retainAll(next.parts().keySet());
    view = next.without(this::isCleared);
    // The group does not know yet what this router has cleared.
    reporter.retainSuspects(next.parts().keySet());
    scheduleCheck();
  }

  /** Returns whether an answer of this router has ended since a part was put in quarantine. */
  private boolean isCleared(SuspectPart suspect) {
    Long quarantinedAtMillis = cleared.get(suspect.part());
    return quarantinedAtMillis != null && quarantinedAtMillis == suspect.quarantinedAtMillis();
  }

  /** Returns the suspect parts that this router knows. */
  QuarantineView view() {
    return view;
  }

  /**
   * Returns the milliseconds for which requests of this prompt are still refused, or nothing if
   * they may be sent.
   */
  OptionalLong quarantineMillis(String service, RequestSize requestSize) {
    return view.quarantineMillis(service, requestSize, wallClock.nowMillis());
  }

  /**
   * Returns whether sending a request again may crash another upstream; see {@link
   * QuarantineView#mayCrashNext}.
   */
  boolean mayCrashNext(
      Upstream upstream, RequestSize requestSize, boolean begun, int lostAttempts) {
    return view.mayCrashNext(
        upstream.entry().service(), requestSize, upstream.entry().id(), begun, lostAttempts);
  }

  /** Records an answer that has ended as it should. */
  void onEnded(
      Upstream upstream, String requestId, RequestSize requestSize, AnswerProgress progress) {
    if (requestSize.sharedParts().isEmpty() || !upstream.isReady()) {
      return;
    }
    upstream
        .losses()
        .onEnded(answer(requestId, requestSize, Optional.of(progress)), upstreams.now());
    addUndecided(upstream);
  }

  /** Reports an answer that is being written, if it has come far enough to clear suspect parts. */
  void onWritten(Upstream upstream, RequestSize requestSize, AnswerProgress progress) {
    for (SuspectPart s : view.suspectsOf(upstream.entry().service(), requestSize)) {
      if (s.soundAfter().filter(progress::reaches).isPresent()) {
        report(s, Optional.of(progress));
      }
    }
  }

  private void report(SuspectPart suspect, Optional<AnswerProgress> progress) {
    reporter.reportSound(
        new SoundAnswer(suspect.part(), progress), suspect.quarantinedAtMillis() != 0);
  }

  /**
   * Records an answer whose connection failed before its end. It is reported as lost if the
   * upstream turns out to have crashed.
   *
   * @param progress how far the answer was written; empty if it had not begun
   */
  void onLost(
      Upstream upstream,
      String requestId,
      RequestSize requestSize,
      Optional<AnswerProgress> progress) {
    // An upstream that leaves may close its connections when it ends.
    if (requestSize.sharedParts().isEmpty() || !upstream.isReady()) {
      return;
    }
    upstream.losses().onLost(answer(requestId, requestSize, progress), upstreams.now());
    addUndecided(upstream);
    check(upstream);
  }

  private static IncarnationLosses.Answer answer(
      String requestId, RequestSize requestSize, Optional<AnswerProgress> progress) {
    return new IncarnationLosses.Answer(
        requestId,
        requestSize.sharedParts().stream()
            .map(PromptPart::id)
            .limit(MAX_REPORTED_PARTS)
            .collect(ImmutableList.toImmutableList()),
        progress);
  }

  private void check(Upstream upstream) {
    if (beingChecked.add(upstream)) {
      upstreams.checkRefused(
          upstream,
          refused -> {
            beingChecked.remove(upstream);
            if (refused) {
              onRefused(upstream);
            }
          });
    }
  }

  @Override
  public void onRefused(Upstream upstream) {
    // An upstream that leaves refuses connections when it has ended as planned.
    if (upstream.isReady()) {
      reportCrash(upstream, "refuses connections");
    }
  }

  @Override
  public void onReplaced(Upstream upstream) {
    reportCrash(upstream, "was replaced by another incarnation");
  }

  @Override
  public void onIdleConnectionClosed(Upstream upstream) {
    if (undecided.contains(upstream) && upstream.losses().isUndecided(upstreams.now())) {
      check(upstream);
    }
  }

  /** Looks for upstreams that a new or changed entry shows to have ended. */
  void onEntry(UpstreamEntry entry) {
    for (Upstream u : List.copyOf(undecided)) {
      if (entry.replaces(u.entry())) {
        onReplaced(u);
      }
    }
  }

  private void reportCrash(Upstream upstream, String sign) {
    undecided.remove(upstream);
    ImmutableList<PartLoss> parts = upstream.losses().takeLostInCrash(upstreams.now());
    if (parts.isEmpty()) {
      return;
    }
    logger.atInfo().log(
        "quarantine: upstream %s %s; answers with %s prompt parts were lost in its crash",
        upstream.entry().id(), sign, parts.size());
    reporter.reportLost(
        new LostAnswers(
            new Crash(
                upstream.entry().service(),
                upstream.entry().id(),
                upstream.entry().startedAtMillis()),
            wallClock.nowMillis(),
            parts));
  }

  private void addUndecided(Upstream upstream) {
    undecided.add(upstream);
    scheduleCheck();
  }

  private void scheduleCheck() {
    long delay = view.parts().isEmpty() ? IDLE_CHECK_INTERVAL_MILLIS : CHECK_INTERVAL_MILLIS;
    long dueMillis = upstreams.now() + delay;
    if (!undecided.isEmpty() && dueMillis < checkAtMillis) {
      checkAtMillis = dueMillis;
      loop.schedule(() -> checkUndecided(dueMillis), delay, TimeUnit.MILLISECONDS);
    }
  }

  private void checkUndecided(long dueMillis) {
    if (dueMillis != checkAtMillis) {
      return;
    }
    checkAtMillis = Long.MAX_VALUE;
    long now = upstreams.now();
    for (Upstream u : List.copyOf(undecided)) {
      u.recordOpenConnection(now);
      u.losses().takeSurvived().forEach(answer -> reportEnded(u, answer));
      if (!u.losses().isUndecided(now)) {
        undecided.remove(u);
      }
    }
    scheduleCheck();
  }

  private void reportEnded(Upstream upstream, IncarnationLosses.Answer answer) {
    for (String id : answer.parts()) {
      ServicePart part = new ServicePart(upstream.entry().service(), id);
      SuspectPart suspect = view.parts().get(part);
      if (suspect != null) {
        report(suspect, Optional.empty());
        if (suspect.quarantinedAtMillis() != 0) {
          cleared.put(part, suspect.quarantinedAtMillis());
        }
      }
    }
    view = view.without(this::isCleared);
  }
}
