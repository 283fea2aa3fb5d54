package org.goldcrestfall.daemon.answer;

import com.fasterxml.jackson.databind.JsonNode;
import com.google.common.flogger.FluentLogger;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import java.util.concurrent.TimeUnit;
import java.util.function.Supplier;
import org.goldcrestfall.core.common.ErrorKind;
import org.goldcrestfall.core.common.Incarnation;
import org.goldcrestfall.core.common.RequestFailure;
import org.goldcrestfall.core.control.ControlQuery;
import org.goldcrestfall.core.stream.AnswerKey;
import org.goldcrestfall.core.stream.RecordHolders;
import org.goldcrestfall.daemon.control.ControlService;
import org.goldcrestfall.wire.PeerTransport;
import org.goldcrestfall.wire.generated.AnswerChunk;
import org.goldcrestfall.wire.generated.AnswerFetch;
import org.goldcrestfall.wire.generated.AnswerLookup;
import org.goldcrestfall.wire.generated.AnswerRegistration;
import org.goldcrestfall.wire.generated.AnswerState;
import org.goldcrestfall.wire.generated.Body;

/**
 * Finds answers on other routers. Two record holders, which are routers in different availability
 * zones chosen by rendezvous hashing, store which router generates the answer to a request id. If
 * they have no entry, the billing records of the control group show whether the id was used.
 * Thread-safe.
 */
public final class RemoteAnswers {

  private static final FluentLogger logger = FluentLogger.forEnclosingClass();

  /** Longest wait for the record holders and the control group before a request runs. */
  static final long LOOKUP_TIMEOUT_MILLIS = 150;

  /** Longest wait for the next tokens of another router's answer. */
  static final long FETCH_TIMEOUT_MILLIS = 30_000;

  private static final int MAX_LOCATIONS = 50_000;

  private final PeerTransport transport;
  private final AnswerService answers;
  private final ControlService control;
  private final Supplier<List<LiveRouter>> routers;
  private final String localHost;
  private final String localAddress;
  private final Map<AnswerKey, AnswerLocation> locations =
      new LinkedHashMap<>() {
        @Override
        protected boolean removeEldestEntry(Map.Entry<AnswerKey, AnswerLocation> eldest) {
          return size() > MAX_LOCATIONS;
        }
      };

  private record AnswerLocation(String bodyHash, String routerAddress) {}

  /** A live router, which may be this one. */
  public record LiveRouter(String host, String zone, String address) {}

  /** Creates the service and registers its message handlers. */
  public RemoteAnswers(
      PeerTransport transport,
      AnswerService answers,
      ControlService control,
      Supplier<List<LiveRouter>> routers,
      String localHost,
      String localAddress) {
    this.transport = transport;
    this.answers = answers;
    this.control = control;
    this.routers = routers;
    this.localHost = localHost;
    this.localAddress = localAddress;
    transport.registerHandler(Body.KindCase.ANSWER_LOOKUP, this::onLookup);
    transport.registerHandler(Body.KindCase.ANSWER_REGISTRATION, this::onRegistration);
    transport.registerHandler(Body.KindCase.ANSWER_FETCH, this::onFetch);
  }

  /**
   * Returns the address of the other router that generates or stores the answer, or empty if there
   * is none. Fails with {@code RequestFailure(REQUEST_ID_REUSED)} if the id was used with another
   * body.
   */
  public CompletionStage<Optional<String>> findRouter(AnswerKey key, String bodyHash) {
    CompletableFuture<Optional<AnswerState>> found =
        CompletableFuture.completedFuture(Optional.empty());
    for (LiveRouter r : recordHolders(key)) {
      found = found.thenCombine(lookUpAt(r, key), (a, b) -> a.isPresent() ? a : b);
    }
    // The control group is queried concurrently, so that a new id waits for one round trip only.
    CompletableFuture<Optional<String>> billed = checkBillingRecord(key, bodyHash);
    return found
        .completeOnTimeout(Optional.empty(), LOOKUP_TIMEOUT_MILLIS, TimeUnit.MILLISECONDS)
        .thenCompose(
            s -> {
              if (s.isEmpty()) {
                return billed;
              }
              checkSameBody(s.get().getBodyHash(), bodyHash);
              String router = s.get().getRouterAddress();
              return CompletableFuture.completedFuture(
                  router.equals(localAddress) ? Optional.empty() : Optional.of(router));
            });
  }

  /** Tells the record holders that this router generates the answer. */
  public void register(AnswerKey key, String bodyHash) {
    Body body =
        Body.newBuilder()
            .setAnswerRegistration(
                AnswerRegistration.newBuilder()
                    .setWorkspace(key.workspace())
                    .setRequestId(key.requestId())
                    .setBodyHash(bodyHash)
                    .setRouterAddress(localAddress))
            .build();
    for (LiveRouter r : recordHolders(key)) {
      if (r.host().equals(localHost)) {
        storeLocation(key, new AnswerLocation(bodyHash, localAddress));
      } else {
        transport.send(r.address(), body);
      }
    }
  }

  /** Fetches the next part of an answer from the router that has it. */
  public CompletionStage<AnswerPart> fetch(
      String router, AnswerKey key, String bodyHash, long offset) {
    Body body =
        Body.newBuilder()
            .setAnswerFetch(
                AnswerFetch.newBuilder()
                    .setWorkspace(key.workspace())
                    .setRequestId(key.requestId())
                    .setBodyHash(bodyHash)
                    .setOffset(offset))
            .build();
    return transport
        .call(router, body, FETCH_TIMEOUT_MILLIS)
        .thenApply(
            b -> {
              if (!b.hasAnswerChunk()) {
                throw new RequestFailure(
                    ErrorKind.UPSTREAM_FAILED, "The other router does not have the answer.");
              }
              AnswerChunk c = b.getAnswerChunk();
              return new AnswerPart(
                  c.getOffset(),
                  List.copyOf(c.getTokensList()),
                  c.getDone() ? c.getFinishReason() : null,
                  c.getPromptTokens(),
                  c.getOffset() + c.getTokensCount());
            });
  }

  private List<LiveRouter> recordHolders(AnswerKey key) {
    List<LiveRouter> live = routers.get();
    return RecordHolders.holders(
            key.workspace(),
            key.requestId(),
            live.stream().map(r -> new RecordHolders.Holder(r.host(), r.zone())).toList())
        .stream()
        .map(h -> live.stream().filter(r -> r.host().equals(h.host())).findFirst().orElseThrow())
        .toList();
  }

  private CompletableFuture<Optional<AnswerState>> lookUpAt(LiveRouter r, AnswerKey key) {
    if (r.host().equals(localHost)) {
      return CompletableFuture.completedFuture(Optional.ofNullable(lookUpLocally(key)));
    }
    Body body =
        Body.newBuilder()
            .setAnswerLookup(
                AnswerLookup.newBuilder()
                    .setWorkspace(key.workspace())
                    .setRequestId(key.requestId()))
            .build();
    return transport
        .call(r.address(), body, LOOKUP_TIMEOUT_MILLIS)
        .thenApply(b -> Optional.of(b.getAnswerState()).filter(AnswerState::getKnown))
        .exceptionally(e -> Optional.empty());
  }

  /**
   * Fails if the request id was billed with another body, and returns empty otherwise. A billed
   * request whose text is lost runs again; its settlement charges nothing.
   */
  private CompletableFuture<Optional<String>> checkBillingRecord(AnswerKey key, String bodyHash) {
    return control
        .query(new ControlQuery.BillingOf(key.workspace(), key.requestId()))
        .completeOnTimeout(null, LOOKUP_TIMEOUT_MILLIS, TimeUnit.MILLISECONDS)
        .exceptionally(
            e -> {
              logger.atFine().log("http: cannot read the billing record of a request id: %s", e);
              return null;
            })
        .thenApply(
            n -> {
              JsonNode recordedHash = n == null ? null : n.path(0).path("body_hash");
              if (recordedHash != null && recordedHash.isTextual()) {
                checkSameBody(recordedHash.textValue(), bodyHash);
              }
              return Optional.empty();
            });
  }

  private static void checkSameBody(String knownHash, String bodyHash) {
    if (!knownHash.equals(bodyHash)) {
      throw new RequestFailure(
          ErrorKind.REQUEST_ID_REUSED, "The request id was used with another body.");
    }
  }

  private CompletableFuture<Body> onLookup(Incarnation sender, Body body) {
    AnswerLookup l = body.getAnswerLookup();
    AnswerState s = lookUpLocally(new AnswerKey(l.getWorkspace(), l.getRequestId()));
    return CompletableFuture.completedFuture(
        Body.newBuilder().setAnswerState(s == null ? AnswerState.getDefaultInstance() : s).build());
  }

  private synchronized AnswerState lookUpLocally(AnswerKey key) {
    AnswerLocation location = locations.get(key);
    return location == null
        ? null
        : AnswerState.newBuilder()
            .setKnown(true)
            .setBodyHash(location.bodyHash())
            .setRouterAddress(location.routerAddress())
            .build();
  }

  private CompletableFuture<Body> onRegistration(Incarnation sender, Body body) {
    AnswerRegistration r = body.getAnswerRegistration();
    storeLocation(
        new AnswerKey(r.getWorkspace(), r.getRequestId()),
        new AnswerLocation(r.getBodyHash(), r.getRouterAddress()));
    return null;
  }

  private synchronized void storeLocation(AnswerKey key, AnswerLocation location) {
    locations.put(key, location);
  }

  private CompletableFuture<Body> onFetch(Incarnation sender, Body body) {
    AnswerFetch f = body.getAnswerFetch();
    AnswerKey key = new AnswerKey(f.getWorkspace(), f.getRequestId());
    return answers
        .readFrom(key, f.getOffset())
        .thenApply(
            p ->
                Body.newBuilder()
                    .setAnswerChunk(
                        AnswerChunk.newBuilder()
                            .setOffset(p.offset())
                            .addAllTokens(p.tokens())
                            .setDone(p.isLast())
                            .setPromptTokens((int) p.promptTokens())
                            .setFinishReason(p.isLast() ? p.finishReason() : ""))
                    .build())
        .toCompletableFuture();
  }
}
