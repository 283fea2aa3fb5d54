package org.goldcrestfall.core.control;

import java.util.ArrayList;
import java.util.List;
import java.util.TreeMap;
import org.goldcrestfall.core.common.Incarnation;

/** The registered hosts, each with its newest incarnation. */
final class HostTable {

  /**
   * The number of registration nonces retained per host. A delayed copy of an older registration is
   * treated as a new one and closes the running incarnation, which then registers again.
   */
  static final int MAX_NONCES_PER_HOST = 64;

  private final TreeMap<String, HostRecord> hosts = new TreeMap<>();

  HostRecord find(String host) {
    return hosts.get(host);
  }

  List<HostRecord> list() {
    return List.copyOf(hosts.values());
  }

  /** Returns the boot number issued for the nonce, or 0 if it was not registered. */
  long bootOf(String host, String nonce) {
    HostRecord r = hosts.get(host);
    if (r == null) {
      return 0;
    }
    for (String n : r.nonces()) {
      int i = n.indexOf(':');
      if (n.substring(i + 1).equals(nonce)) {
        return Long.parseLong(n.substring(0, i));
      }
    }
    return 0;
  }

  /** Registers the next incarnation of a host and returns its boot number. */
  long register(long index, ControlCommand.RegisterHost c) {
    HostRecord r = hosts.get(c.host());
    long boot = r == null ? 1 : r.boot() + 1;
    List<String> nonces = new ArrayList<>(r == null ? List.of() : r.nonces());
    nonces.add(boot + ":" + c.nonce());
    if (nonces.size() > MAX_NONCES_PER_HOST) {
      nonces.remove(0);
    }
    hosts.put(
        c.host(),
        new HostRecord(
            c.host(), c.zone(), c.address(), boot, c.router(), c.disk(), index, 0, 0, nonces));
    return boot;
  }

  /** Closes the newest incarnation of a host. */
  void close(String host, long index) {
    HostRecord r = hosts.get(host);
    hosts.put(
        host,
        new HostRecord(
            host,
            r.zone(),
            r.address(),
            r.boot(),
            r.router(),
            r.disk(),
            r.registeredAt(),
            index,
            r.closedThrough(),
            r.nonces()));
  }

  /** Records a {@link ControlCommand.ReportTransfers} of a host. */
  void recordTransferReport(String host, long closedThrough) {
    HostRecord r = hosts.get(host);
    hosts.put(
        host,
        new HostRecord(
            host,
            r.zone(),
            r.address(),
            r.boot(),
            r.router(),
            r.disk(),
            r.registeredAt(),
            r.closedAt(),
            Math.max(r.closedThrough(), closedThrough),
            r.nonces()));
  }

  /** Returns whether the incarnation was ever registered, even if it is closed now. */
  boolean isKnown(Incarnation i) {
    HostRecord r = hosts.get(i.host());
    return r != null && i.boot() >= 1 && i.boot() <= r.boot();
  }

  boolean isOpen(Incarnation i) {
    HostRecord r = hosts.get(i.host());
    return r != null && i.boot() == r.boot() && r.closedAt() == 0;
  }

  /** Returns a log index at or after that of the incarnation's closing, 0 while it is open. */
  long closedAt(Incarnation i) {
    HostRecord r = hosts.get(i.host());
    return i.boot() < r.boot() ? r.registeredAt() : r.closedAt();
  }

  int openRouterCount() {
    int n = 0;
    for (HostRecord r : hosts.values()) {
      n += r.router() && r.closedAt() == 0 ? 1 : 0;
    }
    return n;
  }

  /**
   * Returns whether no open router can hold an unreported transfer from an incarnation closed at or
   * before the log index.
   */
  boolean allReportedThrough(long index) {
    for (HostRecord r : hosts.values()) {
      if (r.router()
          && r.closedAt() == 0
          && r.registeredAt() < index
          && r.closedThrough() < index) {
        return false;
      }
    }
    return true;
  }

  void restore(List<HostRecord> saved) {
    saved.forEach(r -> hosts.put(r.host(), r));
  }
}
