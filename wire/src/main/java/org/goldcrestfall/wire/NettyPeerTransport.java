package org.goldcrestfall.wire;

import com.google.common.flogger.FluentLogger;
import com.google.common.net.HostAndPort;
import com.google.protobuf.ByteString;
import io.netty.bootstrap.Bootstrap;
import io.netty.bootstrap.ServerBootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.WriteBufferWaterMark;
import io.netty.channel.group.ChannelGroup;
import io.netty.channel.group.DefaultChannelGroup;
import io.netty.channel.nio.NioIoHandler;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import io.netty.channel.socket.nio.NioSocketChannel;
import io.netty.handler.timeout.IdleStateHandler;
import io.netty.util.concurrent.GlobalEventExecutor;
import java.io.IOException;
import java.net.ConnectException;
import java.net.InetSocketAddress;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.RejectedExecutionException;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import org.goldcrestfall.core.common.Incarnation;
import org.goldcrestfall.wire.generated.Body;

/**
 * {@link PeerTransport} over TCP with Netty NIO (section 4.3 of the design). Each pair of daemons
 * uses one connection per direction; the reply to a call is sent on the connection of the call.
 * Futures complete on I/O threads.
 */
public final class NettyPeerTransport implements PeerTransport {

  private static final FluentLogger logger = FluentLogger.forEnclosingClass();
  private static final int IO_THREADS = 2;
  private static final int CONNECT_TIMEOUT_MILLIS = 1000;
  private static final int INBOUND_IDLE_SECONDS = 120;

  /** The high-water mark, at which writing stops, has room for one frame of maximum length. */
  private static final WriteBufferWaterMark WATER_MARK =
      new WriteBufferWaterMark(1024 * 1024, FrameCodec.MAX_FRAME_BYTES);

  private final PeerSettings settings;
  private final TransportListener listener;
  private final EventLoopGroup eventLoops;
  private final boolean ownsEventLoops;
  private final Map<String, OutboundConnection> connections = new ConcurrentHashMap<>();
  private final Map<Body.KindCase, Handler> handlers = new ConcurrentHashMap<>();
  private final ChannelGroup inboundChannels =
      new DefaultChannelGroup(GlobalEventExecutor.INSTANCE);
  private final Channel serverChannel;
  private volatile long boot;
  private volatile boolean closed;

  /**
   * Binds the address of {@code settings} and accepts connections on event loops of its own.
   *
   * @throws IOException if the address cannot be bound
   */
  public NettyPeerTransport(PeerSettings settings, TransportListener listener) throws IOException {
    this(
        settings,
        listener,
        new MultiThreadIoEventLoopGroup(IO_THREADS, NioIoHandler.newFactory()),
        true);
  }

  /**
   * Binds the address of {@code settings} and runs on the caller's {@code eventLoops}, which stay
   * open when the transport is closed.
   *
   * @throws IOException if the address cannot be bound
   */
  public NettyPeerTransport(
      PeerSettings settings, TransportListener listener, EventLoopGroup eventLoops)
      throws IOException {
    this(settings, listener, eventLoops, false);
  }

  private NettyPeerTransport(
      PeerSettings settings,
      TransportListener listener,
      EventLoopGroup eventLoops,
      boolean ownsEventLoops)
      throws IOException {
    this.settings = settings;
    this.listener = listener;
    this.eventLoops = eventLoops;
    this.ownsEventLoops = ownsEventLoops;
    var bound =
        new ServerBootstrap()
            .group(eventLoops)
            .channel(NioServerSocketChannel.class)
            .option(ChannelOption.SO_REUSEADDR, true)
            .childOption(ChannelOption.TCP_NODELAY, true)
            .childOption(ChannelOption.WRITE_BUFFER_WATER_MARK, WATER_MARK)
            .childHandler(initializer(this::initializeInbound))
            .bind(settings.bindAddress(), settings.port())
            .awaitUninterruptibly();
    if (!bound.isSuccess()) {
      if (ownsEventLoops) {
        eventLoops.shutdownGracefully(0, 0, TimeUnit.SECONDS);
      }
      throw new IOException(
          "cannot bind " + settings.bindAddress() + ":" + settings.port(), bound.cause());
    }
    serverChannel = bound.channel();
    logger.atInfo().log("peer: listening on %s", address());
  }

  /** Returns the bound address and port. */
  public String address() {
    InetSocketAddress a = (InetSocketAddress) serverChannel.localAddress();
    return HostAndPort.fromParts(a.getAddress().getHostAddress(), a.getPort()).toString();
  }

  @Override
  public void send(String address, Body body) {
    ByteString bytes = body.toByteString();
    if (closed || bytes.size() > FrameCodec.MAX_BODY_BYTES) {
      listener.dropped(address);
      return;
    }
    OutboundConnection c = connection(address);
    try {
      c.loop().execute(() -> c.send(bytes));
    } catch (RejectedExecutionException e) {
      listener.dropped(address);
    }
  }

  @Override
  public CompletableFuture<Body> call(String address, Body body, long timeoutMillis) {
    ByteString bytes = body.toByteString();
    if (closed) {
      return CompletableFuture.failedFuture(new ConnectException("transport is closed"));
    }
    if (bytes.size() > FrameCodec.MAX_BODY_BYTES) {
      return CompletableFuture.failedFuture(
          new ConnectException("message exceeds the maximum length: " + bytes.size() + " bytes"));
    }
    CompletableFuture<Body> result = new CompletableFuture<>();
    OutboundConnection c = connection(address);
    try {
      c.loop().execute(() -> c.call(bytes, timeoutMillis, result));
    } catch (RejectedExecutionException e) {
      result.completeExceptionally(new ConnectException("transport is closed"));
    }
    return result;
  }

  @Override
  public void registerHandler(Body.KindCase kind, Handler handler) {
    handlers.put(kind, handler);
  }

  @Override
  public void setIncarnation(Incarnation incarnation) {
    boot = incarnation.boot();
  }

  private OutboundConnection connection(String address) {
    return connections.computeIfAbsent(address, this::createConnection);
  }

  private OutboundConnection createConnection(String address) {
    var loop = eventLoops.next();
    var connection = new OutboundConnection(address, loop, settings.host(), () -> boot, listener);
    connection.setBootstrap(
        new Bootstrap()
            .group(loop)
            .channel(NioSocketChannel.class)
            .option(ChannelOption.TCP_NODELAY, true)
            .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, CONNECT_TIMEOUT_MILLIS)
            .option(ChannelOption.WRITE_BUFFER_WATER_MARK, WATER_MARK)
            .handler(initializer(c -> initializeOutbound(c, connection))));
    return connection;
  }

  private void initializeOutbound(Channel c, OutboundConnection connection) {
    FrameCodec codec = new FrameCodec(listener);
    var idle = new IdleStateHandler(OutboundHandler.IDLE_CHECK_MILLIS, 0, 0, TimeUnit.MILLISECONDS);
    var handshake =
        new HandshakeHandler(
            settings,
            Handshake.Side.INITIATOR,
            codec,
            peer -> new OutboundHandler(connection, peer, codec));
    c.pipeline().addLast(idle, codec, handshake);
  }

  private void initializeInbound(Channel c) {
    inboundChannels.add(c);
    FrameCodec codec = new FrameCodec(listener);
    var handshake =
        new HandshakeHandler(
            settings,
            Handshake.Side.ACCEPTOR,
            codec,
            peer -> new InboundHandler(settings.host(), () -> boot, peer, codec, handlers::get));
    c.pipeline().addLast(new IdleStateHandler(INBOUND_IDLE_SECONDS, 0, 0), codec, handshake);
  }

  private static ChannelInitializer<Channel> initializer(Consumer<Channel> initialize) {
    return new ChannelInitializer<>() {
      @Override
      protected void initChannel(Channel c) {
        initialize.accept(c);
      }
    };
  }

  @Override
  public void close() {
    closed = true;
    serverChannel.close().awaitUninterruptibly();
    inboundChannels.close();
    for (OutboundConnection c : connections.values()) {
      try {
        c.loop().execute(c::close);
      } catch (RejectedExecutionException e) {
        logger.atFine().log("peer: transport is already closed");
      }
    }
    if (ownsEventLoops) {
      eventLoops.shutdownGracefully(0, 1, TimeUnit.SECONDS).awaitUninterruptibly();
    }
  }
}
