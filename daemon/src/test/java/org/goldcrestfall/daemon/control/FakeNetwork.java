package org.goldcrestfall.daemon.control;

import java.net.ConnectException;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.TimeUnit;
import org.goldcrestfall.core.common.Incarnation;
import org.goldcrestfall.wire.PeerTransport;
import org.goldcrestfall.wire.generated.Body;

/** Connects transports within one process; hosts can be isolated and replies dropped. */
final class FakeNetwork {

  private final Map<String, FakeTransport> transports = new ConcurrentHashMap<>();
  private final Set<String> isolated = ConcurrentHashMap.newKeySet();
  private volatile boolean dropsControlReplies;

  PeerTransport connect(String host, String address) {
    FakeTransport transport = new FakeTransport(host, address);
    transports.put(address, transport);
    return transport;
  }

  PeerTransport transport(String address) {
    return transports.get(address);
  }

  void isolate(String address) {
    isolated.add(address);
  }

  void heal() {
    isolated.clear();
  }

  /**
   * Sets whether replies to control calls are dropped, as if the connection broke after the
   * request.
   */
  void setDropsControlReplies(boolean drops) {
    dropsControlReplies = drops;
  }

  final class FakeTransport implements PeerTransport {

    private final String host;
    private final String address;
    private final Map<Body.KindCase, Handler> handlers = new ConcurrentHashMap<>();

    private FakeTransport(String host, String address) {
      this.host = host;
      this.address = address;
    }

    private Handler findHandler(String to, Body body) {
      FakeTransport target = transports.get(to);
      boolean isolatedLink =
          !to.equals(address) && (isolated.contains(to) || isolated.contains(address));
      return target == null || isolatedLink ? null : target.handlers.get(body.getKindCase());
    }

    @Override
    public void send(String to, Body body) {
      Handler handler = findHandler(to, body);
      if (handler != null) {
        handler.handle(new Incarnation(host, 1), body);
      }
    }

    @Override
    public CompletableFuture<Body> call(String to, Body body, long timeoutMillis) {
      Handler handler = findHandler(to, body);
      if (handler == null) {
        return CompletableFuture.failedFuture(new ConnectException("refused"));
      }
      CompletableFuture<Body> reply = handler.handle(new Incarnation(host, 1), body);
      if (dropsControlReplies && body.hasControlCall()) {
        reply = new CompletableFuture<>();
      }
      return reply.copy().orTimeout(timeoutMillis, TimeUnit.MILLISECONDS);
    }

    @Override
    public void registerHandler(Body.KindCase kind, Handler handler) {
      handlers.put(kind, handler);
    }

    @Override
    public void setIncarnation(Incarnation incarnation) {}

    @Override
    public void close() {
      transports.remove(address, this);
    }
  }
}
