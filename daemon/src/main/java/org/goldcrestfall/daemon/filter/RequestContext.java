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
 * A caller's request with the data that the filters have added to it. Most fields are set by one
 * filter before the next one runs, and therefore need no locking.
 */
public final class RequestContext {

  private final HttpRequest http;
  private final CompletableFuture<Void> callerDisconnected;
  private final long arrivalMillis;
  private ConfigView config;
  private ConfigView.Workspace workspace;
  private ConfigView.Key key;
  private ChatCall chat;
  private ServiceCall serviceCall;
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

  /** Creates the context of a request that arrived at {@code arrivalMillis}. */
  public RequestContext(
      HttpRequest http, CompletableFuture<Void> callerDisconnected, long arrivalMillis) {
    this.http = http;
    this.callerDisconnected = callerDisconnected;
    this.arrivalMillis = arrivalMillis;
  }

  /** Runs {@code action} when the request ends, or immediately if it has already ended. */
  public synchronized void onEnd(Runnable action) {
    if (ended) {
      action.run();
    } else {
      endActions.add(action);
    }
  }

  /**
   * Returns a future that completes when the billing record is committed, or after {@code
   * timeoutMillis} if it is not committed by then.
   */
  CompletableFuture<Void> whenSettled(long timeoutMillis) {
    return settled.copy().completeOnTimeout(null, timeoutMillis, TimeUnit.MILLISECONDS);
  }

  /** Completes the futures of {@link #whenSettled} after the commit of the billing record. */
  void settleAfter(CompletableFuture<Void> commit) {
    commit.thenRun(() -> settled.complete(null));
  }

  /** Sets the action that runs at the first token of the answer. */
  void onFirstToken(Runnable action) {
    firstTokenAction = action;
  }

  /** Runs the action of {@link #onFirstToken}. */
  void firstToken() {
    firstTokenAction.run();
  }

  /**
   * Ends the request, which has completed, failed or been cancelled, and runs the actions of {@link
   * #onEnd}. Calls after the first have no effect.
   */
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

  /** Returns a future that completes when the caller closes the connection. */
  public CompletableFuture<Void> callerDisconnected() {
    return callerDisconnected;
  }

  /** Returns the time of arrival on the daemon's monotonic clock. */
  public long arrivalMillis() {
    return arrivalMillis;
  }

  void setCaller(ConfigView view, ConfigView.Key k, ConfigView.Workspace w) {
    config = view;
    key = k;
    workspace = w;
  }

  void setCall(ChatCall call, String hash, int bytes) {
    chat = call;
    bodyHash = hash;
    bodyBytes = bytes;
  }

  void setCall(ServiceCall call, String hash, int bytes) {
    serviceCall = call;
    bodyHash = hash;
    bodyBytes = bytes;
  }

  void setRequestId(String id, boolean fromCaller) {
    requestId = id;
    idFromCaller = fromCaller;
  }

  void setPatience(ConfigView.PatienceClass c, long deadline) {
    patience = c;
    deadlineMillis = deadline;
  }

  void markBookingRecordRead() {
    bookingRecordRead = true;
  }

  /** Returns whether the booking record was read, so that the response already reflects it. */
  public boolean isBookingRecordRead() {
    return bookingRecordRead;
  }

  void setReservation(ReservedTokens r) {
    reservation = r;
  }

  /** Returns the configuration that applies to the request. */
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
  public ServiceCall serviceCall() {
    return serviceCall;
  }

  /** Returns the size of the body in bytes. */
  public int bodyBytes() {
    return bodyBytes;
  }

  /** Returns the id of the request within its workspace, or an empty string if not yet set. */
  public String requestId() {
    return requestId;
  }

  /** Returns whether the caller chose the request id, so that it may retry under this id. */
  public boolean isIdFromCaller() {
    return idFromCaller;
  }

  /** Returns the hash of method, target and body; a retry under the same id must have the same. */
  public String bodyHash() {
    return bodyHash;
  }

  /** Returns the patience class. */
  public ConfigView.PatienceClass patience() {
    return patience;
  }

  /** Returns the latest time of the first token, or of the response to a service call. */
  public long deadlineMillis() {
    return deadlineMillis;
  }

  /** Returns the tokens reserved for the request. */
  public ReservedTokens reservation() {
    return reservation;
  }
}
