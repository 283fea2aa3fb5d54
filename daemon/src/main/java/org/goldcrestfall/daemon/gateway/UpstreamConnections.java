package org.goldcrestfall.daemon.gateway;

import com.google.common.flogger.FluentLogger;
import io.netty.bootstrap.Bootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.ConnectTimeoutException;
import io.netty.channel.EventLoop;
import io.netty.channel.socket.nio.NioSocketChannel;
import io.netty.handler.codec.http.HttpRequestEncoder;
import java.net.ConnectException;
import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import org.goldcrestfall.core.common.MillisClock;
import org.goldcrestfall.core.registry.UpstreamAddress;
import org.goldcrestfall.core.registry.UpstreamEntry;
import org.goldcrestfall.core.registry.UpstreamState;

/** The ready upstreams of all services, and connections to them. Confined to the event loop. */
final class UpstreamConnections {

  private static final FluentLogger logger = FluentLogger.forEnclosingClass();

  /** Several times the round-trip time within a region. */
  private static final int CONNECT_TIMEOUT_MILLIS = 400;

  private final EventLoop loop;
  private final MillisClock clock;
  private final GatewayHeaderNames headerNames;
  private final long startedAtMillis;
  private final Map<String, Upstream> upstreams = new HashMap<>();
  private CrashSigns crashSigns = CrashSigns.NONE;
  private final Map<String, Map<String, Upstream>> byService = new HashMap<>();

  UpstreamConnections(EventLoop loop, MillisClock clock, GatewayHeaderNames headerNames) {
    this.loop = loop;
    this.clock = clock;
    this.headerNames = headerNames;
    startedAtMillis = clock.nowMillis();
  }

  /** Sets the receiver of signs that upstreams have crashed. */
  void onCrashSigns(CrashSigns receiver) {
    crashSigns = receiver;
  }

  long now() {
    return clock.nowMillis();
  }

  GatewayHeaderNames headerNames() {
    return headerNames;
  }

  /** Applies a new or changed entry. */
  void update(UpstreamEntry entry) {
    if (entry.state() != UpstreamState.GONE && !UpstreamAddress.isValid(entry.address())) {
      logger.atWarning().atMostEvery(1, TimeUnit.SECONDS).log(
          "upstream: ignored %s with the address '%s', expected an IP address and port",
          entry.id(), entry.address());
      return;
    }
    Upstream upstream = upstreams.get(entry.id());
    boolean sameIncarnation =
        upstream != null
            && upstream.entry().startedAtMillis() == entry.startedAtMillis()
            && upstream.entry().address().equals(entry.address());
    if (sameIncarnation) {
      upstream.update(entry);
    } else {
      remove(entry.id());
      upstream = new Upstream(entry, startedAtMillis, now());
    }
    upstream.warmup().extend(entry.warmupMillis(), now());
    logger.atInfo().log(
        "upstream: %s of service %s at %s is %s and warms up for %s ms",
        entry.id(), entry.service(), entry.address(), entry.state(), entry.warmupMillis());
    if (upstream.isReady()) {
      upstreams.put(entry.id(), upstream);
      byService.computeIfAbsent(entry.service(), s -> new HashMap<>()).put(entry.id(), upstream);
    } else {
      remove(entry.id());
    }
  }

  /** Removes an upstream whose address now belongs to another upstream. */
  void removeMisdirected(Upstream upstream) {
    crashSigns.onReplaced(upstream);
    logger.atInfo().log(
        "upstream: %s is no longer at %s", upstream.entry().id(), upstream.entry().address());
    remove(upstream.entry().id());
  }

  private void remove(String id) {
    Upstream old = upstreams.remove(id);
    if (old == null) {
      return;
    }
    byService.getOrDefault(old.entry().service(), Map.of()).remove(id);
    new ArrayList<>(old.idleConnections()).forEach(UpstreamConnection::close);
  }

  /** Returns the upstreams of a service that may get new requests, by id. */
  Map<String, Upstream> ready(String service) {
    return byService.getOrDefault(service, Map.of());
  }

  /** Returns an upstream that may get new requests, or null. */
  Upstream find(String id) {
    return upstreams.get(id);
  }

  /** Returns all upstreams that may get new requests. */
  Collection<Upstream> all() {
    return upstreams.values();
  }

  /** Returns whether any service has an upstream. */
  boolean isEmpty() {
    return upstreams.isEmpty();
  }

  /** Passes an idle or a new connection to the callback, or null if none could be opened. */
  void acquire(Upstream upstream, Consumer<UpstreamConnection> callback) {
    UpstreamConnection idle;
    while ((idle = upstream.idleConnections().pollFirst()) != null) {
      if (idle.isUsable(now())) {
        callback.accept(idle);
        return;
      }
      idle.close();
    }
    connect(upstream, callback);
  }

  private void connect(Upstream upstream, Consumer<UpstreamConnection> callback) {
    String address = upstream.entry().address();
    ResponseDecoder decoder = new ResponseDecoder();
    UpstreamConnection connection = new UpstreamConnection(upstream, this, decoder);
    ChannelFuture connectFuture =
        open(address, c -> c.pipeline().addLast(new HttpRequestEncoder(), decoder, connection));
    upstream.onConnectionOpened();
    connectFuture.addListener(
        f -> {
          if (f.isSuccess()) {
            callback.accept(connection);
            return;
          }
          upstream.onConnectionClosed(connection);
          upstream.warmup().onConnectFailed();
          if (isRefused(f.cause())) {
            crashSigns.onRefused(upstream);
          }
          logger.atInfo().log(
              "upstream: cannot connect to %s at %s: %s",
              upstream.entry().id(), address, f.cause().getMessage());
          callback.accept(null);
        });
  }

  private ChannelFuture open(String address, Consumer<Channel> initializer) {
    int colon = address.lastIndexOf(':');
    return new Bootstrap()
        .group(loop)
        .channel(NioSocketChannel.class)
        .option(ChannelOption.TCP_NODELAY, true)
        .option(ChannelOption.RECVBUF_ALLOCATOR, ReadSizes.ALLOCATOR)
        .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, CONNECT_TIMEOUT_MILLIS)
        .handler(
            new ChannelInitializer<Channel>() {
              @Override
              protected void initChannel(Channel c) {
                initializer.accept(c);
              }
            })
        .connect(address.substring(0, colon), Integer.parseInt(address.substring(colon + 1)));
  }

  /** Opens a connection to find out whether the upstream refuses it, and closes it at once. */
  void checkRefused(Upstream upstream, Consumer<Boolean> callback) {
    open(upstream.entry().address(), c -> {})
        .addListener(
            (ChannelFuture f) -> {
              f.channel().close();
              callback.accept(isRefused(f.cause()));
            });
  }

  /** Returns whether no process listens at the address; a cut or a dead host shows as a timeout. */
  private static boolean isRefused(Throwable failure) {
    return failure instanceof ConnectException && !(failure instanceof ConnectTimeoutException);
  }

  /** Records that an upstream has closed a connection without a request. */
  void onIdleConnectionClosed(Upstream upstream) {
    crashSigns.onIdleConnectionClosed(upstream);
  }

  /** Keeps a connection for reuse after a complete response. */
  void release(UpstreamConnection connection) {
    connection.upstream().idleConnections().addFirst(connection);
  }

  /** Closes idle connections that upstreams are about to close. */
  void closeExpired() {
    long now = now();
    for (Upstream u : upstreams.values()) {
      List<UpstreamConnection> expired = new ArrayList<>();
      u.idleConnections().removeIf(c -> !c.isUsable(now) && expired.add(c));
      expired.forEach(UpstreamConnection::close);
    }
  }
}
