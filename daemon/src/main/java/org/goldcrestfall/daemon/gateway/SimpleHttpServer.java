package org.goldcrestfall.daemon.gateway;

import com.google.common.flogger.FluentLogger;
import io.netty.buffer.ByteBuf;
import io.netty.buffer.ByteBufUtil;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFutureListener;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.EventLoop;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.handler.codec.http.DefaultFullHttpResponse;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaderValues;
import io.netty.handler.codec.http.HttpObjectAggregator;
import io.netty.handler.codec.http.HttpResponseEncoder;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.handler.codec.http.LastHttpContent;
import io.netty.handler.timeout.IdleStateHandler;
import java.io.IOException;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import org.goldcrestfall.core.limit.FragmentLimit;
import org.goldcrestfall.core.limit.HeldBytes;

/** An HTTP server for the endpoints of operators, upstreams, the load balancer and metrics. */
public final class SimpleHttpServer {

  private static final FluentLogger logger = FluentLogger.forEnclosingClass();

  private static final int MAX_HEADER_BYTES = 16_384;
  private static final int MAX_BODY_BYTES = 8 << 20;
  private static final int IDLE_TIMEOUT_SECONDS = 30;

  /** Limit of the bodies that all connections collect, in place of 8 MiB for each of them. */
  private static final long MAX_COLLECTED_BYTES = 3L * MAX_BODY_BYTES;

  /** A request; {@code path} does not include the query. */
  public record Request(String method, String path, byte[] body) {}

  /** A response with a body of type {@code contentType}. */
  public record Response(int status, String contentType, byte[] body) {

    /** Returns a response with a JSON body. */
    public static Response json(int status, byte[] body) {
      return new Response(status, "application/json", body);
    }
  }

  /** Handles requests on the event loop; must not block. */
  @FunctionalInterface
  public interface Handler {

    /** Returns the response; if the future fails, the server responds with status 500. */
    CompletableFuture<Response> handle(Request request);
  }

  private SimpleHttpServer() {}

  /**
   * Starts a server on an address.
   *
   * @throws IOException if the address cannot be bound
   */
  public static Channel bind(EventLoop loop, String address, int port, Handler handler)
      throws IOException {
    HeldBytes<ChannelHandlerContext> collectedBytes = new HeldBytes<>(MAX_COLLECTED_BYTES);
    return GatewayServer.bind(
        loop,
        address,
        port,
        new ChannelInitializer<Channel>() {
          @Override
          protected void initChannel(Channel c) {
            c.pipeline()
                .addLast(
                    new IdleStateHandler(0, 0, IDLE_TIMEOUT_SECONDS),
                    new RequestDecoder(MAX_HEADER_BYTES),
                    new HttpResponseEncoder(),
                    new BodyMemory(collectedBytes),
                    new HttpObjectAggregator(MAX_BODY_BYTES),
                    new Connection(handler));
          }
        });
  }

  /**
   * Closes the connection with the largest incomplete body if all connections collect too much, and
   * one whose body is sent in very many very small parts.
   */
  private static final class BodyMemory extends ChannelInboundHandlerAdapter {

    private final HeldBytes<ChannelHandlerContext> collectedBytes;
    private FragmentLimit fragments = new FragmentLimit();
    private long bytes;

    BodyMemory(HeldBytes<ChannelHandlerContext> collectedBytes) {
      this.collectedBytes = collectedBytes;
    }

    @Override
    public void channelRead(ChannelHandlerContext c, Object message) {
      boolean accepted = true;
      if (message instanceof HttpContent content) {
        int length = content.content().readableBytes();
        accepted = fragments.onPart(length);
        setBytes(c, bytes + length);
      }
      boolean last = message instanceof LastHttpContent;
      c.fireChannelRead(message);
      if (last) {
        fragments = new FragmentLimit();
        setBytes(c, 0);
      } else if (!accepted) {
        close(c, "a body is sent in too many small parts");
      }
      while (collectedBytes.isExceeded()) {
        close(collectedBytes.largest().orElseThrow(), "bodies take too much memory");
      }
    }

    private void setBytes(ChannelHandlerContext c, long length) {
      bytes = length;
      collectedBytes.set(c, length);
    }

    private void close(ChannelHandlerContext c, String reason) {
      logger.atWarning().atMostEvery(1, TimeUnit.SECONDS).log(
          "http: connection closed: %s", reason);
      collectedBytes.set(c, 0);
      c.close();
    }

    @Override
    public void channelInactive(ChannelHandlerContext c) {
      setBytes(c, 0);
      c.fireChannelInactive();
    }
  }

  private static final class Connection extends SimpleChannelInboundHandler<FullHttpRequest> {

    private final Handler handler;

    Connection(Handler handler) {
      this.handler = handler;
    }

    @Override
    protected void channelRead0(ChannelHandlerContext c, FullHttpRequest httpRequest) {
      if (httpRequest.decoderResult().isFailure()) {
        write(c, false, new Response(400, "text/plain", new byte[0]));
        return;
      }
      boolean keepAlive = HttpUtil.isKeepAlive(httpRequest);
      String uri = httpRequest.uri();
      int query = uri.indexOf('?');
      Request request =
          new Request(
              httpRequest.method().name(),
              query < 0 ? uri : uri.substring(0, query),
              ByteBufUtil.getBytes(httpRequest.content()));
      handler
          .handle(request)
          .exceptionally(
              e -> {
                logFailure(e);
                return Response.json(500, new byte[0]);
              })
          .thenAcceptAsync(response -> write(c, keepAlive, response), c.executor());
    }

    private static void write(ChannelHandlerContext c, boolean keepAlive, Response response) {
      ByteBuf body = Unpooled.wrappedBuffer(response.body());
      var httpResponse =
          new DefaultFullHttpResponse(
              HttpVersion.HTTP_1_1, HttpResponseStatus.valueOf(response.status()), body);
      httpResponse.headers().set(HttpHeaderNames.CONTENT_TYPE, response.contentType());
      httpResponse.headers().set(HttpHeaderNames.CONTENT_LENGTH, body.readableBytes());
      if (!keepAlive) {
        httpResponse.headers().set(HttpHeaderNames.CONNECTION, HttpHeaderValues.CLOSE);
      }
      var writeFuture = c.writeAndFlush(httpResponse);
      if (!keepAlive) {
        writeFuture.addListener(ChannelFutureListener.CLOSE);
      }
    }

    @Override
    public void userEventTriggered(ChannelHandlerContext c, Object event) {
      c.close();
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext c, Throwable cause) {
      if (!(cause instanceof IOException)) {
        logFailure(cause);
      }
      c.close();
    }

    private static void logFailure(Throwable cause) {
      logger.atSevere().withCause(cause).atMostEvery(1, TimeUnit.SECONDS).log(
          "http: a handler failed with an unexpected exception");
    }
  }
}
