package org.goldcrestfall.daemon.filter;

import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import org.apache.pekko.http.javadsl.model.HttpRequest;
import org.goldcrestfall.core.control.ConfigView;
import org.goldcrestfall.daemon.budget.ReservedTokens;
import org.goldcrestfall.daemon.upstream.ChatCall;

/**
 * A caller's request with what the filters have found out about it. Each field is set by one filter
 * before the next one runs, so no locking is needed.
 */
public final class RequestContext {

  private final HttpRequest http;
  private final CompletableFuture<Void> callerGone;
  private final long arrivedMillis;
  private ConfigView config;
  private ConfigView.Workspace workspace;
  private ConfigView.Key key;
  private ChatCall chat;
  private ServiceCall service;
  private int bodyBytes;
  private String requestId = "";
  private boolean idFromCaller;
  private String bodyHash;
  private ConfigView.PatienceClass patience;
  private long deadlineMillis;
  private ReservedTokens reservation;
  private final List<Runnable> endActions = new ArrayList<>();
  private Runnable firstTokenAction = () -> {};
  private final CompletableFuture<Void> settled = new CompletableFuture<>();
  private boolean ended;
  private volatile boolean bookingRecordRead;

  /** Creates the context of a request that arrived at {@code arrivedMillis}. */
  public RequestContext(HttpRequest http, CompletableFuture<Void> callerGone, long arrivedMillis) {
    this.http = http;
    this.callerGone = callerGone;
    this.arrivedMillis = arrivedMillis;
  }

  /** Runs {@code action} once, when the request ends in any way. */
  public synchronized void onEnd(Runnable action) {
    if (ended) {
      action.run();
    } else {
      endActions.add(action);
    }
  }

  /**
   * Returns what completes when the billing record is committed or nothing has to be billed, at the
   * latest after {@code waitMillis}.
   */
  CompletableFuture<Void> settled(long waitMillis) {
    return settled.copy().completeOnTimeout(null, waitMillis, TimeUnit.MILLISECONDS);
  }

  void settledBy(CompletableFuture<Void> commit) {
    commit.thenRun(() -> settled.complete(null));
  }

  /** Sets what runs at the first token of the answer. */
  void onFirstToken(Runnable action) {
    firstTokenAction = action;
  }

  /** Notes the first token of the answer. */
  void firstToken() {
    firstTokenAction.run();
  }

  /** Marks the end of the request: answered whole, failed or cancelled. Later calls do nothing. */
  public void end() {
    List<Runnable> actions;
    synchronized (this) {
      if (ended) {
        return;
      }
      ended = true;
      actions = List.copyOf(endActions);
    }
    actions.forEach(Runnable::run);
  }

  /** Returns the HTTP request. */
  public HttpRequest http() {
    return http;
  }

  /** Returns what completes when the caller closes the connection. */
  public CompletableFuture<Void> callerGone() {
    return callerGone;
  }

  /** Returns the time of arrival in milliseconds of the daemon's clock. */
  public long arrivedMillis() {
    return arrivedMillis;
  }

  void authenticated(ConfigView view, ConfigView.Key k, ConfigView.Workspace w) {
    config = view;
    key = k;
    workspace = w;
  }

  void parsed(ChatCall call, String hash, int bytes) {
    chat = call;
    bodyHash = hash;
    bodyBytes = bytes;
  }

  void parsed(ServiceCall call, String hash, int bytes) {
    service = call;
    bodyHash = hash;
    bodyBytes = bytes;
  }

  void identified(String id, boolean fromCaller) {
    requestId = id;
    idFromCaller = fromCaller;
  }

  void prioritized(ConfigView.PatienceClass c, long deadline) {
    patience = c;
    deadlineMillis = deadline;
  }

  void bookingRecordRead() {
    bookingRecordRead = true;
  }

  /** Returns whether the answer is based on the record of the booking. */
  public boolean isBookingRecordRead() {
    return bookingRecordRead;
  }

  void reserved(ReservedTokens r) {
    reservation = r;
  }

  /** Returns the configuration that the request is served under. */
  public ConfigView config() {
    return config;
  }

  /** Returns the caller's key. */
  public ConfigView.Key key() {
    return key;
  }

  /** Returns the caller's workspace. */
  public ConfigView.Workspace workspace() {
    return workspace;
  }

  /** Returns whether this is a chat completion rather than a service call. */
  public boolean isChat() {
    return chat != null;
  }

  /** Returns the chat completion. */
  public ChatCall chat() {
    return chat;
  }

  /** Returns the service call. */
  public ServiceCall service() {
    return service;
  }

  /** Returns the size of the body in bytes. */
  public int bodyBytes() {
    return bodyBytes;
  }

  /** Returns the id of the request within its workspace; empty before it is known. */
  public String requestId() {
    return requestId;
  }

  /** Returns whether the caller chose the id, so that a retry may come under it. */
  public boolean isIdFromCaller() {
    return idFromCaller;
  }

  /** Returns the hash of target and body, which every retry must repeat. */
  public String bodyHash() {
    return bodyHash;
  }

  /** Returns the patience class. */
  public ConfigView.PatienceClass patience() {
    return patience;
  }

  /** Returns the time by which the first token or the answer is due. */
  public long deadlineMillis() {
    return deadlineMillis;
  }

  /** Returns the reserved tokens. */
  public ReservedTokens reservation() {
    return reservation;
  }
}
