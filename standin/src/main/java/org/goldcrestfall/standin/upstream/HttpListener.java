package org.goldcrestfall.standin.upstream;

import java.io.IOException;
import java.time.Duration;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletionStage;
import java.util.function.Function;
import org.apache.pekko.NotUsed;
import org.apache.pekko.actor.ActorSystem;
import org.apache.pekko.http.javadsl.Http;
import org.apache.pekko.http.javadsl.model.HttpRequest;
import org.apache.pekko.http.javadsl.model.HttpResponse;
import org.apache.pekko.stream.KillSwitches;
import org.apache.pekko.stream.SharedKillSwitch;
import org.apache.pekko.stream.TLSProtocol;
import org.apache.pekko.stream.javadsl.BidiFlow;
import org.apache.pekko.stream.javadsl.Flow;
import org.apache.pekko.stream.javadsl.Sink;
import org.apache.pekko.stream.javadsl.TLSPlacebo;
import org.apache.pekko.stream.javadsl.Tcp;
import org.apache.pekko.util.ByteString;

/**
 * Serves HTTP over plain TCP. It attaches the HTTP layer to each connection itself: a server
 * binding of Pekko HTTP responds with 500 if the handler ends without a response, but {@link
 * UpstreamProcess#DROP_CONNECTION} requires a closed connection.
 */
final class HttpListener {

  private static final int BACKLOG = 1024;

  private HttpListener() {}

  /**
   * Listens for connections and passes their requests to the handler. If the handler returns {@link
   * UpstreamProcess#DROP_CONNECTION}, the connection is aborted without sending a byte.
   */
  static CompletionStage<Tcp.ServerBinding> listen(
      ActorSystem system,
      String address,
      int port,
      Function<HttpRequest, CompletionStage<HttpResponse>> handler) {
    return Tcp.get(system)
        .bind(address, port, BACKLOG, List.of(), false, Optional.<Duration>empty())
        .to(
            Sink.foreach(
                connection -> connection.handleWith(connectionFlow(system, handler), system)))
        .run(system);
  }

  private static Flow<ByteString, ByteString, NotUsed> connectionFlow(
      ActorSystem system, Function<HttpRequest, CompletionStage<HttpResponse>> handler) {
    SharedKillSwitch connection = KillSwitches.shared("connection");
    Flow<HttpRequest, HttpResponse, NotUsed> handlerFlow =
        Flow.of(HttpRequest.class)
            .mapAsync(1, handler::apply)
            .filter(response -> passOrAbort(response, connection));
    BidiFlow<
            TLSProtocol.SslTlsOutbound,
            TLSProtocol.SslTlsOutbound,
            TLSProtocol.SessionBytes,
            TLSProtocol.SslTlsInbound,
            NotUsed>
        tlsTypeAdapter =
            BidiFlow.fromFlows(
                Flow.of(TLSProtocol.SslTlsOutbound.class),
                Flow.of(TLSProtocol.SessionBytes.class).map(bytes -> bytes));
    return Http.get(system)
        .serverLayer()
        .atop(tlsTypeAdapter)
        .atop(TLSPlacebo.getInstance())
        .reversed()
        .join(handlerFlow)
        .via(connection.flow());
  }

  /** Returns whether to send the response; aborts the connection if not. */
  private static boolean passOrAbort(HttpResponse response, SharedKillSwitch connection) {
    if (response != UpstreamProcess.DROP_CONNECTION) {
      return true;
    }
    connection.abort(new IOException("connection closed by an injected fault"));
    return false;
  }
}
