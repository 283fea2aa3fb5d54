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
 * Finds answers on other routers. Two record holders, chosen by rendezvous hash in different
 * availability zones, know which router produces the answer to a request id; if they know nothing,
 * the control group knows whether the id was billed. Thread-safe.
 */
public final class RemoteAnswers {

  private static final FluentLogger logger = FluentLogger.forEnclosingClass();

  /** Longest wait for the record holders and the control group before a request runs. */
  static final long LOOKUP_MILLIS = 150;

  /** Longest wait for the next tokens of another router's answer. */
  static final long FETCH_MILLIS = 30_000;

  private static final int MAX_RECORDS = 50_000;

  private final PeerTransport transport;
  private final AnswerService answers;
  private final ControlService control;
  private final Supplier<List<LiveRouter>> routers;
  private final String host;
  private final String address;
  private final Map<AnswerKey, Record> records =
      new LinkedHashMap<>() {
        @Override
        protected boolean removeEldestEntry(Map.Entry<AnswerKey, Record> eldest) {
          return size() > MAX_RECORDS;
        }
      };

  private record Record(String bodyHash, String routerAddress) {}

  /** A live router, this one included. */
  public record LiveRouter(String host, String zone, String address) {}

  /** Creates the service and registers its message handlers. */
  public RemoteAnswers(
      PeerTransport transport,
      AnswerService answers,
      ControlService control,
      Supplier<List<LiveRouter>> routers,
      String host,
      String address) {
    this.transport = transport;
    this.answers = answers;
    this.control = control;
    this.routers = routers;
    this.host = host;
    this.address = address;
    transport.handle(Body.KindCase.ANSWER_LOOKUP, this::onLookup);
    transport.handle(Body.KindCase.ANSWER_REGISTRATION, this::onRegistration);
    transport.handle(Body.KindCase.ANSWER_FETCH, this::onFetch);
  }

  /**
   * Returns the address of the router that produces or keeps the answer. Fails with {@code
   * RequestFailure(REQUEST_ID_REUSED)} if the id is known with another body.
   */
  public CompletionStage<Optional<String>> find(AnswerKey key, String bodyHash) {
    CompletableFuture<Optional<AnswerState>> found =
        CompletableFuture.completedFuture(Optional.empty());
    for (LiveRouter r : holders(key)) {
      found = found.thenCombine(ask(r, key), (a, b) -> a.isPresent() ? a : b);
    }
    // The control group is asked at the same time, so that a new id waits for one round trip only.
    CompletableFuture<Optional<String>> billed = billed(key, bodyHash);
    return found
        .completeOnTimeout(Optional.empty(), LOOKUP_MILLIS, TimeUnit.MILLISECONDS)
        .thenCompose(
            s -> {
              if (s.isEmpty()) {
                return billed;
              }
              checkSame(s.get().getBodyHash(), bodyHash);
              String router = s.get().getRouterAddress();
              return CompletableFuture.completedFuture(
                  router.equals(address) ? Optional.empty() : Optional.of(router));
            });
  }

  /** Tells the record holders that this router produces the answer. */
  public void register(AnswerKey key, String bodyHash) {
    Body body =
        Body.newBuilder()
            .setAnswerRegistration(
                AnswerRegistration.newBuilder()
                    .setWorkspace(key.workspace())
                    .setRequestId(key.requestId())
                    .setBodyHash(bodyHash)
                    .setRouterAddress(address))
            .build();
    for (LiveRouter r : holders(key)) {
      if (r.host().equals(host)) {
        remember(key, new Record(bodyHash, address));
      } else {
        transport.send(r.address(), body);
      }
    }
  }

  /** Returns the next part of an answer that another router has. */
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
        .call(router, body, FETCH_MILLIS)
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

  private List<LiveRouter> holders(AnswerKey key) {
    List<LiveRouter> live = routers.get();
    return RecordHolders.holders(
            key.workspace(),
            key.requestId(),
            live.stream().map(r -> new RecordHolders.Holder(r.host(), r.zone())).toList())
        .stream()
        .map(h -> live.stream().filter(r -> r.host().equals(h.host())).findFirst().orElseThrow())
        .toList();
  }

  private CompletableFuture<Optional<AnswerState>> ask(LiveRouter r, AnswerKey key) {
    if (r.host().equals(host)) {
      return CompletableFuture.completedFuture(Optional.ofNullable(lookup(key)));
    }
    Body body =
        Body.newBuilder()
            .setAnswerLookup(
                AnswerLookup.newBuilder()
                    .setWorkspace(key.workspace())
                    .setRequestId(key.requestId()))
            .build();
    return transport
        .call(r.address(), body, LOOKUP_MILLIS)
        .thenApply(b -> Optional.of(b.getAnswerState()).filter(AnswerState::getKnown))
        .exceptionally(e -> Optional.empty());
  }

  /** A billed request whose text is lost runs again; its settlement charges nothing. */
  private CompletableFuture<Optional<String>> billed(AnswerKey key, String bodyHash) {
    return control
        .query(new ControlQuery.BillingOf(key.workspace(), key.requestId()))
        .completeOnTimeout(null, LOOKUP_MILLIS, TimeUnit.MILLISECONDS)
        .exceptionally(
            e -> {
              logger.atFine().log("http: billing record cannot be read: %s", e);
              return null;
            })
        .thenApply(
            n -> {
              JsonNode first = n == null ? null : n.path(0).path("body_hash");
              if (first != null && first.isTextual()) {
                checkSame(first.textValue(), bodyHash);
              }
              return Optional.empty();
            });
  }

  private static void checkSame(String known, String bodyHash) {
    if (!known.equals(bodyHash)) {
      throw new RequestFailure(
          ErrorKind.REQUEST_ID_REUSED, "The request id was used with another body.");
    }
  }

  private CompletableFuture<Body> onLookup(Incarnation sender, Body body) {
    AnswerLookup l = body.getAnswerLookup();
    AnswerState s = lookup(new AnswerKey(l.getWorkspace(), l.getRequestId()));
    return CompletableFuture.completedFuture(
        Body.newBuilder().setAnswerState(s == null ? AnswerState.getDefaultInstance() : s).build());
  }

  private synchronized AnswerState lookup(AnswerKey key) {
    Record r = records.get(key);
    return r == null
        ? null
        : AnswerState.newBuilder()
            .setKnown(true)
            .setBodyHash(r.bodyHash())
            .setRouterAddress(r.routerAddress())
            .build();
  }

  private CompletableFuture<Body> onRegistration(Incarnation sender, Body body) {
    AnswerRegistration r = body.getAnswerRegistration();
    remember(
        new AnswerKey(r.getWorkspace(), r.getRequestId()),
        new Record(r.getBodyHash(), r.getRouterAddress()));
    return null;
  }

  private synchronized void remember(AnswerKey key, Record r) {
    records.put(key, r);
  }

  private CompletableFuture<Body> onFetch(Incarnation sender, Body body) {
    AnswerFetch f = body.getAnswerFetch();
    AnswerKey key = new AnswerKey(f.getWorkspace(), f.getRequestId());
    return answers
        .next(key, f.getOffset())
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
