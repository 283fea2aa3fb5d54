package org.goldcrestfall.bench;

import io.netty.bootstrap.ServerBootstrap;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.channel.nio.NioIoHandler;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import io.netty.handler.codec.http.DefaultHttpContent;
import io.netty.handler.codec.http.DefaultHttpResponse;
import io.netty.handler.codec.http.HttpObject;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpServerCodec;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.handler.codec.http.LastHttpContent;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.Collections;
import java.util.concurrent.TimeUnit;
import org.apache.pekko.actor.ActorSystem;
import org.apache.pekko.http.javadsl.Http;
import org.apache.pekko.http.javadsl.ServerBinding;
import org.apache.pekko.http.javadsl.model.ContentTypes;
import org.apache.pekko.http.javadsl.model.HttpEntities;
import org.apache.pekko.stream.javadsl.Source;
import org.apache.pekko.util.ByteString;

/**
 * An HTTP server that answers each request with a stream of small chunks, on one of two HTTP
 * stacks. It prints its port and runs until the process is terminated.
 */
final class HttpStackServer {

  private static final byte[] CHUNK =
      "id: 1\ndata: some tokens of an answer\n\n".getBytes(StandardCharsets.UTF_8);

  private HttpStackServer() {}

  /**
   * Runs the server.
   *
   * @param args {@code pekko} or {@code netty}, the number of chunks in a response, and the pause
   *     between the chunks in milliseconds
   */
  public static void main(String[] args) throws Exception {
    int chunks = Integer.parseInt(args[1]);
    int pauseMillis = Integer.parseInt(args[2]);
    int port =
        args[0].equals("pekko") ? startPekko(chunks, pauseMillis) : startNetty(chunks, pauseMillis);
    System.out.println(port);
    Thread.currentThread().join();
  }

  private static int startPekko(int chunks, int pauseMillis) throws Exception {
    ActorSystem system = ActorSystem.create("bench");
    ServerBinding binding =
        Http.get(system)
            .newServerAt("127.0.0.1", 0)
            .bindSync(
                request -> {
                  request.discardEntityBytes(system);
                  Source<ByteString, ?> source =
                      Source.from(Collections.nCopies(chunks, ByteString.fromArray(CHUNK)));
                  if (pauseMillis > 0) {
                    source = source.throttle(1, Duration.ofMillis(pauseMillis));
                  }
                  return org.apache.pekko.http.javadsl.model.HttpResponse.create()
                      .withEntity(HttpEntities.createChunked(ContentTypes.TEXT_PLAIN_UTF8, source));
                })
            .toCompletableFuture()
            .get();
    return binding.localAddress().getPort();
  }

  private static int startNetty(int chunks, int pauseMillis) throws Exception {
    var group = new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
    Channel server =
        new ServerBootstrap()
            .group(group)
            .channel(NioServerSocketChannel.class)
            .childHandler(
                new ChannelInitializer<Channel>() {
                  @Override
                  protected void initChannel(Channel c) {
                    c.pipeline()
                        .addLast(
                            new HttpServerCodec(), new ChunkedResponseHandler(chunks, pauseMillis));
                  }
                })
            .bind("127.0.0.1", 0)
            .sync()
            .channel();
    return ((InetSocketAddress) server.localAddress()).getPort();
  }

  private static final class ChunkedResponseHandler
      extends SimpleChannelInboundHandler<HttpObject> {

    private final int chunks;
    private final int pauseMillis;

    ChunkedResponseHandler(int chunks, int pauseMillis) {
      this.chunks = chunks;
      this.pauseMillis = pauseMillis;
    }

    @Override
    protected void channelRead0(ChannelHandlerContext c, HttpObject message) {
      if (!(message instanceof LastHttpContent)) {
        return;
      }
      HttpResponse head = new DefaultHttpResponse(HttpVersion.HTTP_1_1, HttpResponseStatus.OK);
      HttpUtil.setTransferEncodingChunked(head, true);
      c.write(head);
      writeChunks(c, chunks);
    }

    private void writeChunks(ChannelHandlerContext c, int remaining) {
      if (remaining == 0) {
        c.writeAndFlush(LastHttpContent.EMPTY_LAST_CONTENT);
        return;
      }
      c.write(new DefaultHttpContent(Unpooled.wrappedBuffer(CHUNK)));
      if (pauseMillis == 0) {
        writeChunks(c, remaining - 1);
        return;
      }
      c.flush();
      c.executor()
          .schedule(() -> writeChunks(c, remaining - 1), pauseMillis, TimeUnit.MILLISECONDS);
    }
  }
}
