package org.goldcrestfall.daemon.gateway;

import com.google.common.flogger.FluentLogger;
import io.netty.bootstrap.ServerBootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoop;
import io.netty.channel.ServerChannelRecvByteBufAllocator;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import io.netty.handler.codec.http.HttpResponseEncoder;
import java.io.IOException;

/** Accepts callers' connections on the event loop of a {@link Gateway}. */
public final class GatewayServer {

  private static final FluentLogger logger = FluentLogger.forEnclosingClass();

  /** Length of the accept queue; callers open many connections at once when a router fails. */
  private static final int BACKLOG = 1_024;

  /**
   * Connections that one pass of the event loop accepts, so that one pass before the listener is
   * closed usually empties the accept queue.
   */
  private static final int ACCEPTS_PER_PASS = 128;

  private GatewayServer() {}

  /**
   * Starts to accept callers' connections on an address.
   *
   * @throws IOException if the address cannot be bound
   */
  public static Channel bind(Gateway gateway, EventLoop loop, String address, int port)
      throws IOException {
    return bind(
        loop,
        address,
        port,
        new ChannelInitializer<Channel>() {
          @Override
          protected void initChannel(Channel c) {
            c.pipeline()
                .addLast(
                    new RequestDecoder(gateway.limits().maxHeaderBytes()),
                    new HttpResponseEncoder(),
                    new ClientConnection(gateway));
          }
        });
  }

  static Channel bind(
      EventLoop loop, String address, int port, ChannelInitializer<Channel> childInitializer)
      throws IOException {
    ChannelFuture bindFuture =
        new ServerBootstrap()
            .group(loop)
            .channel(NioServerSocketChannel.class)
            .option(ChannelOption.SO_REUSEADDR, true)
            .option(ChannelOption.SO_BACKLOG, BACKLOG)
            .option(
                ChannelOption.RECVBUF_ALLOCATOR,
                new ServerChannelRecvByteBufAllocator().maxMessagesPerRead(ACCEPTS_PER_PASS))
            .childOption(ChannelOption.TCP_NODELAY, true)
            .childOption(ChannelOption.RECVBUF_ALLOCATOR, ReadSizes.ALLOCATOR)
            .childHandler(childInitializer)
            .bind(address, port)
            .awaitUninterruptibly();
    if (!bindFuture.isSuccess()) {
      throw new IOException("cannot bind " + address + ":" + port, bindFuture.cause());
    }
    logger.atInfo().log("http: listening on %s:%s", address, port);
    return bindFuture.channel();
  }
}
