package org.goldcrestfall.daemon.site;

import com.google.common.flogger.FluentLogger;
import io.netty.channel.EventLoop;
import java.util.ArrayList;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import org.goldcrestfall.core.common.MillisClock;
import org.goldcrestfall.core.quarantine.CrashReport;
import org.goldcrestfall.core.quarantine.ServicePart;
import org.goldcrestfall.core.site.SiteCommand;
import org.goldcrestfall.daemon.control.ControlClient;
import org.goldcrestfall.wire.PeerTransport;

/**
 * Reports to the control group which requests were lost in crashes of upstreams, and with which
 * suspect parts answers have begun, until the group has committed it. Confined to one event loop.
 */
public final class CrashReporter {

  private static final FluentLogger logger = FluentLogger.forEnclosingClass();

  /** Number of reports that wait while the control group cannot commit; later ones are dropped. */
  private static final int MAX_WAITING = 200;

  /** Number of reports in one command, whose size is limited. */
  private static final int MAX_REPORTS_PER_COMMAND = 20;

  private static final long COMMIT_TIMEOUT_MILLIS = 900;
  private static final long RETRY_DELAY_MILLIS = 100;

  private final ControlClient controlClient;
  private final EventLoop loop;
  private final MillisClock wallClock = MillisClock.utc();
  private final List<CrashReport> lost = new ArrayList<>();
  private final Set<ServicePart> answered = new LinkedHashSet<>();
  private boolean sending;

  /** Creates the reporter of the router that watches the site with {@code siteClient}. */
  public CrashReporter(
      SiteClient siteClient, PeerTransport transport, EventLoop loop, MillisClock clock) {
    this.loop = loop;
    controlClient = new ControlClient(siteClient::controlAddresses, transport, clock, null);
  }

  /** Reports requests that were lost in a crash. */
  public void reportLost(List<CrashReport> reports) {
    for (CrashReport r : reports) {
      if (lost.size() == MAX_WAITING) {
        logger.atWarning().atMostEvery(10, TimeUnit.SECONDS).log(
            "quarantine: dropped the report of lost request %s, as %s others wait",
            r.request(), MAX_WAITING);
        break;
      }
      lost.add(r);
    }
    send();
  }

  /** Reports that an answer has begun with a suspect part. */
  public void reportAnswered(ServicePart part) {
    if (answered.size() < MAX_WAITING && answered.add(part)) {
      send();
    }
  }

  private void send() {
    if (sending || lost.isEmpty() && answered.isEmpty()) {
      return;
    }
    sending = true;
    final List<CrashReport> sentLost =
        List.copyOf(lost.subList(0, Math.min(MAX_REPORTS_PER_COMMAND, lost.size())));
    final Set<ServicePart> sentAnswered = Set.copyOf(answered);
    byte[] command =
        SiteCodec.encodeCommand(
            new SiteCommand.ReportCrashes(
                sentLost, List.copyOf(sentAnswered), wallClock.nowMillis()));
    controlClient
        .submit(command, COMMIT_TIMEOUT_MILLIS)
        .whenCompleteAsync(
            (reply, failure) -> {
              sending = false;
              if (failure != null) {
                logger.atInfo().atMostEvery(2, TimeUnit.SECONDS).log(
                    "quarantine: %s reports are not committed yet: %s", lost.size(), failure);
                loop.schedule(this::send, RETRY_DELAY_MILLIS, TimeUnit.MILLISECONDS);
                return;
              }
              lost.subList(0, sentLost.size()).clear();
              answered.removeAll(sentAnswered);
              send();
            },
            loop);
  }
}
