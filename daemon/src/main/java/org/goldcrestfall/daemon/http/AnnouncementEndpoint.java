package org.goldcrestfall.daemon.http;

import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import java.util.function.Function;
import org.apache.pekko.actor.typed.ActorSystem;
import org.apache.pekko.http.javadsl.model.HttpMethods;
import org.apache.pekko.http.javadsl.model.HttpRequest;
import org.apache.pekko.http.javadsl.model.HttpResponse;
import org.goldcrestfall.core.common.ErrorKind;
import org.goldcrestfall.core.common.RequestFailure;
import org.goldcrestfall.core.membership.UpstreamAnnouncement;

/** Receives the announcements of upstreams. */
public final class AnnouncementEndpoint implements Endpoint {

  private static final String PATH = "/v1/upstreams/announce";
  private static final long MAX_BODY_BYTES = 256 * 1024;
  private static final long BODY_TIMEOUT_MILLIS = 5_000;

  private final ActorSystem<?> system;
  private final String keySha256;
  private final Function<UpstreamAnnouncement, CompletableFuture<Boolean>> announce;

  /**
   * Creates the endpoint.
   *
   * @param keySha256 SHA-256 hash of the key that all upstreams share, in hex
   * @param announce publishes an announcement; its future returns whether it was newer than the
   *     known one
   */
  public AnnouncementEndpoint(
      ActorSystem<?> system,
      String keySha256,
      Function<UpstreamAnnouncement, CompletableFuture<Boolean>> announce) {
    this.system = system;
    this.keySha256 = keySha256;
    this.announce = announce;
  }

  @Override
  public boolean accepts(String path) {
    return path.equals(PATH);
  }

  @Override
  public CompletionStage<HttpResponse> handle(
      HttpRequest request, CompletableFuture<Void> callerDisconnected) {
    RequestFailure refusal = check(request);
    if (refusal != null) {
      request.discardEntityBytes(system);
      throw refusal;
    }
    return request
        .entity()
        .withSizeLimit(MAX_BODY_BYTES)
        .toStrict(BODY_TIMEOUT_MILLIS, system)
        .thenCompose(
            e ->
                announce.apply(
                    Json.convert(Json.parse(e.getData().toArray()), UpstreamAnnouncement.class)))
        .thenApply(accepted -> HttpResponses.json(200, Map.of("accepted", accepted)));
  }

  private RequestFailure check(HttpRequest request) {
    if (!request.method().equals(HttpMethods.POST)) {
      return new RequestFailure(ErrorKind.NOT_FOUND, "Announcements are sent by POST.");
    }
    String hash = Secrets.bearerToken(request).map(Secrets::sha256).orElse("");
    return Secrets.constantTimeEquals(keySha256, hash)
        ? null
        : new RequestFailure(ErrorKind.UNAUTHENTICATED, "The upstream key is not valid.");
  }
}
