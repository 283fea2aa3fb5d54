package org.goldcrestfall.daemon.gateway;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.LinkedHashSet;
import java.util.Set;
import org.goldcrestfall.core.dispatch.UpstreamLoad;
import org.goldcrestfall.core.quarantine.IncarnationLosses;
import org.goldcrestfall.core.registry.UpstreamEntry;
import org.goldcrestfall.core.registry.UpstreamState;
import org.goldcrestfall.core.warmup.UpstreamWarmup;

/** One incarnation of an upstream: its registry entry, load and connections from this router. */
final class Upstream {

  private final UpstreamLoad load;
  private final UpstreamWarmup warmup;
  private final Deque<UpstreamConnection> idleConnections = new ArrayDeque<>();
  private final Set<UpstreamConnection> established = new LinkedHashSet<>();
  private final IncarnationLosses losses = new IncarnationLosses();
  private UpstreamEntry entry;
  private int openConnections;

  /**
   * Creates an upstream without connections.
   *
   * @param processStartedAtMillis the start of this router process
   */
  Upstream(UpstreamEntry entry, long processStartedAtMillis, long nowMillis) {
    this.entry = entry;
    warmup = new UpstreamWarmup(processStartedAtMillis);
    load = new UpstreamLoad(entry.id(), entry.zone(), entry.slots(), nowMillis);
  }

  UpstreamEntry entry() {
    return entry;
  }

  void update(UpstreamEntry next) {
    entry = next;
  }

  boolean isReady() {
    return entry.state() == UpstreamState.READY;
  }

  UpstreamLoad load() {
    return load;
  }

  UpstreamWarmup warmup() {
    return warmup;
  }

  /** Returns a name that is never used again for another incarnation. */
  String incarnation() {
    return entry.id() + "#" + entry.startedAtMillis();
  }

  Deque<UpstreamConnection> idleConnections() {
    return idleConnections;
  }

  int openConnections() {
    return openConnections;
  }

  /** Returns the answers that were lost or ended just now. */
  IncarnationLosses losses() {
    return losses;
  }

  void onConnectionOpened() {
    openConnections++;
  }

  void onConnectionEstablished(UpstreamConnection connection) {
    established.add(connection);
  }

  /** Records in the losses that the eldest connection is still open, if there is one. */
  void recordOpenConnection(long nowMillis) {
    established.stream()
        .findFirst()
        .ifPresent(c -> losses.onConnectionOpen(c.openedAtMillis(), nowMillis));
  }

  void onConnectionClosed(UpstreamConnection connection) {
    openConnections--;
    established.remove(connection);
    idleConnections.remove(connection);
  }
}
