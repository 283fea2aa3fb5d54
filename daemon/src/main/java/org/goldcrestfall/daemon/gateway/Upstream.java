package org.goldcrestfall.daemon.gateway;

import java.util.ArrayDeque;
import java.util.Deque;
import org.goldcrestfall.core.dispatch.UpstreamLoad;
import org.goldcrestfall.core.registry.UpstreamEntry;
import org.goldcrestfall.core.registry.UpstreamState;

/** One incarnation of an upstream: its registry entry, load and connections from this router. */
final class Upstream {

  private final UpstreamLoad load;
  private final Deque<UpstreamConnection> idleConnections = new ArrayDeque<>();
  private UpstreamEntry entry;
  private int openConnections;

  Upstream(UpstreamEntry entry, long nowMillis) {
    this.entry = entry;
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

  Deque<UpstreamConnection> idleConnections() {
    return idleConnections;
  }

  int openConnections() {
    return openConnections;
  }

  void onConnectionOpened() {
    openConnections++;
  }

  void onConnectionClosed(UpstreamConnection connection) {
    openConnections--;
    idleConnections.remove(connection);
  }
}
