package org.goldcrestfall.daemon.gateway;

import static java.nio.charset.StandardCharsets.ISO_8859_1;
import static org.assertj.core.api.Assertions.assertThat;

import io.netty.channel.Channel;
import io.netty.channel.EventLoop;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import net.jqwik.api.Example;
import net.jqwik.api.lifecycle.AfterTry;
import net.jqwik.api.lifecycle.BeforeTry;
import org.goldcrestfall.daemon.Await;

/** Guards against a daemon that runs out of memory because of many incomplete request bodies. */
final class SimpleHttpServerTest {

  private static final int CONNECTIONS = 40;
  private static final int MAX_OPEN = 24;
  private static final byte[] MEBIBYTE = new byte[1 << 20];

  private final EventLoopGroup loops =
      new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
  private Channel server;

  @BeforeTry
  void open() throws Exception {
    server =
        SimpleHttpServer.bind(
            (EventLoop) loops.next(),
            "127.0.0.1",
            0,
            r ->
                CompletableFuture.completedFuture(
                    SimpleHttpServer.Response.json(
                        200, String.valueOf(r.body().length).getBytes(ISO_8859_1))));
  }

  @AfterTry
  void close() {
    loops.shutdownGracefully(0, 1, TimeUnit.SECONDS);
  }

  private Socket connect() throws IOException {
    Socket socket = new Socket("127.0.0.1", ((InetSocketAddress) server.localAddress()).getPort());
    socket.setSoTimeout(10_000);
    return socket;
  }

  private static void send(Socket socket, String text) throws IOException {
    socket.getOutputStream().write(text.getBytes(ISO_8859_1));
  }

  private static boolean isClosed(Socket socket) {
    try {
      socket.setSoTimeout(1);
      return socket.getInputStream().read() < 0;
    } catch (java.net.SocketTimeoutException e) {
      return false;
    } catch (IOException e) {
      return true;
    }
  }

  @Example
  void incompleteBodiesOfManyConnectionsAreBoundedAndSmallRequestsServed() throws Exception {
    List<Socket> sockets = new ArrayList<>();
    for (int i = 0; i < CONNECTIONS; i++) {
      Socket socket = connect();
      sockets.add(socket);
      send(socket, "POST /a HTTP/1.1\r\nHost: h\r\nContent-Length: 8000000\r\n\r\n");
      socket.getOutputStream().write(MEBIBYTE);
    }
    Await.await(() -> sockets.stream().filter(s -> !isClosed(s)).count() <= MAX_OPEN, 10);
    try (Socket small = connect()) {
      String request =
          "POST /a HTTP/1.1\r\nHost: h\r\nConnection: close\r\nContent-Length: 3\r\n\r\nabc";
      assertThat(GatewayFixture.sendRaw(small, request)).startsWith("HTTP/1.1 200").endsWith("3");
    }
    for (Socket socket : sockets) {
      socket.close();
    }
  }

  @Example
  void bodyInPartsOfOneByteIsEnded() throws Exception {
    try (Socket socket = connect()) {
      send(socket, "POST /a HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n");
      send(socket, "1\r\nx\r\n".repeat(10_000));
      Await.await(() -> isClosed(socket), 10);
    }
  }

  @Example
  void manyLargeRequestsOneAfterTheOtherAreServed() throws Exception {
    for (int i = 0; i < 10; i++) {
      try (Socket socket = connect()) {
        send(
            socket,
            "POST /a HTTP/1.1\r\nHost: h\r\nConnection: close\r\nContent-Length: 7340032\r\n\r\n");
        for (int j = 0; j < 7; j++) {
          socket.getOutputStream().write(MEBIBYTE);
        }
        assertThat(GatewayFixture.sendRaw(socket, "")).endsWith("7340032");
      }
    }
  }
}
