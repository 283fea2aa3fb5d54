package org.goldcrestfall.daemon.peer;

import com.google.common.flogger.FluentLogger;
import java.io.IOException;
import java.util.List;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.RejectedExecutionException;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import org.goldcrestfall.core.common.MillisClock;
import org.goldcrestfall.core.config.ConfigEffect;
import org.goldcrestfall.core.config.ConfigFollower;
import org.goldcrestfall.core.config.ConfigUpdate;
import org.goldcrestfall.core.control.ConfigChange;
import org.goldcrestfall.core.control.ConfigView;
import org.goldcrestfall.wire.PeerTransport;
import org.goldcrestfall.wire.generated.Body;

/**
 * Runs {@link ConfigFollower} over the transport and stores configurations. A configuration is
 * stored before it is served. It is stored on a separate thread, so that a slow disk does not delay
 * the replies to probes.
 */
final class ConfigService {

  private static final long CALL_TIMEOUT_MILLIS = 900;
  private static final FluentLogger logger = FluentLogger.forEnclosingClass();

  private final PeerTransport transport;
  private final MillisClock clock;
  private final ConfigSource source;
  private final PeerThreads threads;
  private final Consumer<Runnable> peerExecutor;
  private final Consumer<ConfigView> observer;
  private final ConfigFollower follower;
  private final ConfigStore store;
  private boolean staleWarned;
  private volatile ConfigView served;
  private volatile boolean confirmed;
  private volatile long confirmedAtMillis;

  ConfigService(
      PeerOptions options,
      PeerTransport transport,
      MillisClock clock,
      ConfigSource source,
      ConfigStore store,
      PeerThreads threads,
      Consumer<Runnable> peerExecutor,
      Consumer<ConfigView> observer)
      throws IOException {
    this.transport = transport;
    this.clock = clock;
    this.source = source;
    this.peerExecutor = peerExecutor;
    this.observer = observer;
    this.store = store;
    this.threads = threads;
    served = store == null ? ConfigView.EMPTY : store.load();
    long now = clock.nowMillis();
    confirmedAtMillis = now;
    follower =
        new ConfigFollower(
            options.address(), options.controlMembers(), served, options.seed(), now);
  }

  void start() {
    transport.registerHandler(
        Body.KindCase.CONFIG_REQUEST,
        (sender, body) -> {
          CompletableFuture<Body> reply = new CompletableFuture<>();
          var request = body.getConfigRequest();
          peerExecutor.accept(
              () -> {
                long now = clock.nowMillis();
                readSource(now);
                reply.complete(
                    ConfigCodec.reply(
                        follower.updateFor(request.getId(), request.getRevision(), now)));
              });
          return reply;
        });
    if (served.revision() > 0) {
      peerExecutor.accept(() -> observer.accept(served));
    }
  }

  ConfigView view() {
    return served;
  }

  boolean confirmed() {
    return confirmed;
  }

  long confirmationAgeMillis() {
    return clock.nowMillis() - confirmedAtMillis;
  }

  /** Returns the served revision if this process has a control member, otherwise 0. */
  long sourceRevision() {
    return source == null ? 0 : served.revision();
  }

  void tick(Set<String> peers, long now) {
    readSource(now);
    follower.setPeers(peers);
    run(follower.tick(now), now);
    warnIfStale(now);
  }

  void learnRevision(String address, long revision, long now) {
    run(follower.onNewerRevision(address, revision, now), now);
  }

  private void readSource(long now) {
    if (source == null) {
      return;
    }
    ConfigView view = source.view();
    long known = follower.view().revision();
    List<ConfigChange> changes = view.revision() > known ? source.changesAfter(known) : List.of();
    ConfigView fullView = changes == null ? view : null;
    List<ConfigChange> knownChanges = changes == null ? List.of() : changes;
    run(
        follower.onLocalUpdate(
            new ConfigUpdate(0, view.revision(), knownChanges, fullView, false, 0), now),
        now);
  }

  private void run(List<ConfigEffect> effects, long now) {
    for (ConfigEffect e : effects) {
      if (e instanceof ConfigEffect.RequestUpdate r) {
        sendRequest(r);
      } else if (e instanceof ConfigEffect.Changed c) {
        store(c.view());
      }
    }
    updateConfirmation(now);
  }

  /** Publishes the last confirmation; that of a view that is not stored yet does not count. */
  private void updateConfirmation(long now) {
    if (served.revision() >= follower.view().revision()) {
      confirmed = follower.confirmed();
      confirmedAtMillis = now - follower.confirmationAgeMillis(now);
    }
  }

  private void sendRequest(ConfigEffect.RequestUpdate request) {
    transport
        .call(
            request.address(),
            ConfigCodec.request(request.id(), request.revision()),
            CALL_TIMEOUT_MILLIS)
        .whenComplete((body, e) -> peerExecutor.accept(() -> receiveReply(request, body)));
  }

  private void receiveReply(ConfigEffect.RequestUpdate request, Body body) {
    long now = clock.nowMillis();
    if (body == null || !body.hasConfigReply()) {
      run(follower.onRequestFailed(request.id(), now), now);
      return;
    }
    try {
      ConfigUpdate update = ConfigCodec.update(body.getConfigReply());
      run(follower.onUpdate(update, now), now);
    } catch (IOException | IllegalArgumentException e) {
      logger.atWarning().withCause(e).atMostEvery(10, TimeUnit.SECONDS).log(
          "peer: invalid configuration reply from %s", request.address());
      run(follower.onRequestFailed(request.id(), now), now);
    }
  }

  private void store(ConfigView view) {
    if (store == null) {
      serve(view);
      return;
    }
    try {
      threads.executeStorage(
          () -> {
            try {
              store.save(view);
            } catch (IOException e) {
              logger.atSevere().withCause(e).atMostEvery(10, TimeUnit.SECONDS).log(
                  "peer: configuration revision %s could not be stored; serving it anyway",
                  view.revision());
            }
            peerExecutor.accept(() -> serve(view));
          });
    } catch (RejectedExecutionException e) {
      logger.atFine().log("peer: service is closed");
    }
  }

  private void serve(ConfigView view) {
    if (view.revision() > served.revision()) {
      served = view;
      updateConfirmation(clock.nowMillis());
      observer.accept(view);
    }
  }

  private void warnIfStale(long now) {
    boolean stale =
        follower.confirmationAgeMillis(now) > ConfigFollower.MAX_CONFIRMATION_AGE_MILLIS;
    if (stale && !staleWarned) {
      logger.atWarning().log(
          "peer: revision %s has not been confirmed for %s ms; continuing to serve it",
          served.revision(), follower.confirmationAgeMillis(now));
    }
    staleWarned = stale;
  }
}
