package org.goldcrestfall.daemon.gateway;

import com.google.common.collect.ImmutableList;
import com.google.common.flogger.FluentLogger;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.OptionalLong;
import org.goldcrestfall.core.common.MillisClock;
import org.goldcrestfall.core.dispatch.PromptPart;
import org.goldcrestfall.core.dispatch.RequestSize;
import org.goldcrestfall.core.quarantine.CrashReport;
import org.goldcrestfall.core.quarantine.QuarantineView;
import org.goldcrestfall.core.quarantine.ServicePart;
import org.goldcrestfall.core.quarantine.SuspectPart;
import org.goldcrestfall.daemon.site.CrashReporter;

/**
 * A router's knowledge of the prompt parts that crash upstreams. Reports the requests that were
 * lost in a crash and the suspect parts with which answers have begun. Confined to the event loop.
 */
final class PromptQuarantine {

  private static final FluentLogger logger = FluentLogger.forEnclosingClass();

  /** Number of shared parts of a prompt that are reported; all daemons keep them. */
  private static final int MAX_REPORTED_PARTS = 32;

  private final UpstreamConnections upstreams;
  private final CrashReporter reporter;
  private final MillisClock wallClock = MillisClock.utc();
  private final Map<Upstream, List<CrashReport>> unconfirmed = new HashMap<>();
  private QuarantineView view = QuarantineView.EMPTY;

  PromptQuarantine(UpstreamConnections upstreams, CrashReporter reporter) {
    this.upstreams = upstreams;
    this.reporter = reporter;
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
    view = next;
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
   * Returns whether another upstream crashed under a part of the prompt, which is suspect since.
   */
  boolean hasCrashedOther(Upstream upstream, RequestSize requestSize) {
    return view.hasCrashedOther(upstream.entry().service(), requestSize, upstream.entry().id());
  }

  /** Clears the suspect parts of a request whose answer has begun. */
  void onAnswerBegun(Upstream upstream, RequestSize requestSize) {
    if (view.parts().isEmpty()) {
      return;
    }
    for (PromptPart p : requestSize.sharedParts()) {
      ServicePart part = new ServicePart(upstream.entry().service(), p.id());
      if (view.parts().containsKey(part)) {
        reporter.reportAnswered(part);
      }
    }
  }

  /**
   * Reports a request whose connection was lost before its answer had begun, if the upstream does
   * not accept connections any more.
   */
  void onRequestLost(Upstream upstream, String requestId, RequestSize requestSize) {
    if (requestSize.sharedParts().isEmpty()) {
      return;
    }
    List<CrashReport> reports = unconfirmed.computeIfAbsent(upstream, u -> new ArrayList<>());
    reports.add(
        new CrashReport(
            upstream.entry().service(),
            upstream.entry().id(),
            upstream.entry().startedAtMillis(),
            requestId,
            requestSize.sharedParts().stream()
                .map(PromptPart::id)
                .limit(MAX_REPORTED_PARTS)
                .collect(ImmutableList.toImmutableList()),
            wallClock.nowMillis()));
    if (reports.size() == 1) {
      upstreams.checkReachable(upstream, reachable -> onReachabilityChecked(upstream, reachable));
    }
  }

  private void onReachabilityChecked(Upstream upstream, boolean reachable) {
    List<CrashReport> reports = unconfirmed.remove(upstream);
    logger.atInfo().log(
        "quarantine: upstream %s is %s; %s requests were lost before their answers began",
        upstream.entry().id(), reachable ? "reachable" : "down", reports.size());
    if (!reachable) {
      reporter.reportLost(reports);
    }
  }
}
