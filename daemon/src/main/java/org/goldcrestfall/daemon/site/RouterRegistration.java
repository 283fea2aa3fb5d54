package org.goldcrestfall.daemon.site;

import com.google.common.flogger.FluentLogger;
import io.netty.channel.EventLoop;
import org.goldcrestfall.core.common.MillisClock;
import org.goldcrestfall.core.site.SiteCommand;
import org.goldcrestfall.daemon.PeriodicTasks;
import org.goldcrestfall.daemon.control.ControlClient;
import org.goldcrestfall.wire.PeerTransport;

/**
 * Registers a router with the control group, which gives its host a number, if the configuration
 * needs one and the host has none. The number arrives with a watch. Confined to one event loop.
 */
public final class RouterRegistration {

  private static final FluentLogger logger = FluentLogger.forEnclosingClass();

  /** Longer than a watch takes, which tells a router that has registered before its number. */
  private static final long ATTEMPT_INTERVAL_MILLIS = 1_500;

  private static final long COMMIT_TIMEOUT_MILLIS = 900;

  private final SiteClient siteClient;
  private final ControlClient controlClient;
  private boolean needed;

  /** Creates the registration of the router that watches the site with {@code siteClient}. */
  public RouterRegistration(
      SiteClient siteClient, PeerTransport transport, EventLoop loop, MillisClock clock) {
    this.siteClient = siteClient;
    controlClient = new ControlClient(siteClient::controlAddresses, transport, clock, null);
    PeriodicTasks.schedule(loop, ATTEMPT_INTERVAL_MILLIS, this::registerIfMissing);
  }

  /** Sets whether the configuration needs the router to have a number. */
  public void setNeeded(boolean needed) {
    this.needed = needed;
  }

  private void registerIfMissing() {
    if (!needed || siteClient.position().routers() > 0) {
      return;
    }
    controlClient
        .submit(
            SiteCodec.encodeCommand(new SiteCommand.RegisterRouter(siteClient.host())),
            COMMIT_TIMEOUT_MILLIS)
        .whenComplete((reply, failure) -> logResult(failure));
  }

  private void logResult(Throwable failure) {
    if (failure == null) {
      logger.atInfo().log("site: host %s has registered", siteClient.host());
    } else {
      logger.atInfo().log(
          "site: host %s has not registered yet: %s", siteClient.host(), failure.getMessage());
    }
  }
}
