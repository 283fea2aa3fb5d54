package org.goldcrestfall.daemon.control;

import com.google.common.flogger.FluentLogger;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionException;
import java.util.concurrent.ScheduledThreadPoolExecutor;
import java.util.concurrent.TimeUnit;
import org.goldcrestfall.core.consensus.Departure;
import org.goldcrestfall.wire.PeerTransport;
import org.goldcrestfall.wire.RemoteFailure;
import org.goldcrestfall.wire.generated.Body;
import org.goldcrestfall.wire.generated.LeaveReply;
import org.goldcrestfall.wire.generated.LeaveRequest;

/**
 * Asks the leader to release this member before its process ends, until the leader has done so or
 * refuses because the group needs the vote. Whether the host is restarted or removed is not known
 * at this time; a released member joins again when it is back.
 */
final class GroupLeaver {

  private static final FluentLogger logger = FluentLogger.forEnclosingClass();

  /** The interval between attempts, and the timeout of each request. */
  private static final long ATTEMPT_INTERVAL_MILLIS = 100;

  /** The kind of failure with which a daemon answers a call that its build does not know. */
  private static final String NO_HANDLER = "no_handler";

  private final ControlReplica replica;
  private final PeerTransport transport;
  private final ScheduledThreadPoolExecutor executor;
  private final CompletableFuture<Departure> outcome = new CompletableFuture<>();

  GroupLeaver(ControlReplica replica, PeerTransport transport) {
    this.replica = replica;
    this.transport = transport;
    executor = replica.executor();
  }

  /** Returns a future that completes with {@link Departure#DONE} or {@link Departure#REFUSED}. */
  CompletableFuture<Departure> start() {
    executor.execute(this::attempt);
    return outcome;
  }

  private void attempt() {
    if (!replica.status().running()) {
      onAnswer(Departure.REFUSED);
      return;
    }
    Departure known = replica.release(replica.identity().id());
    String leader = replica.status().leaderAddress();
    if (known != Departure.UNKNOWN || leader.isEmpty()) {
      onAnswer(known);
    } else {
      askLeader(leader);
    }
  }

  private void askLeader(String address) {
    LeaveRequest request = LeaveRequest.newBuilder().setMember(replica.identity().id()).build();
    transport
        .call(address, Body.newBuilder().setLeaveRequest(request).build(), ATTEMPT_INTERVAL_MILLIS)
        .thenApply(body -> decode(body.getLeaveReply().getOutcome()))
        .exceptionally(GroupLeaver::outcomeOf)
        .thenAcceptAsync(this::onAnswer, executor);
  }

  private static Departure outcomeOf(Throwable failure) {
    Throwable cause = failure instanceof CompletionException ? failure.getCause() : failure;
    boolean unsupported = cause instanceof RemoteFailure f && f.kind().equals(NO_HANDLER);
    return unsupported ? Departure.REFUSED : Departure.UNKNOWN;
  }

  private void onAnswer(Departure departure) {
    if (departure == Departure.DONE || departure == Departure.REFUSED) {
      logger.atInfo().log(
          "consensus: %s asked to leave the group: %s", replica.identity().id(), departure);
      outcome.complete(departure);
      return;
    }
    executor.schedule(this::attempt, ATTEMPT_INTERVAL_MILLIS, TimeUnit.MILLISECONDS);
  }

  private static Departure decode(LeaveReply.Outcome outcome) {
    return switch (outcome) {
      case DONE -> Departure.DONE;
      case PENDING -> Departure.PENDING;
      case REFUSED -> Departure.REFUSED;
      case UNKNOWN, UNRECOGNIZED -> Departure.UNKNOWN;
    };
  }

  static LeaveReply encode(Departure departure) {
    LeaveReply.Outcome outcome =
        switch (departure) {
          case DONE -> LeaveReply.Outcome.DONE;
          case PENDING -> LeaveReply.Outcome.PENDING;
          case REFUSED -> LeaveReply.Outcome.REFUSED;
          case UNKNOWN -> LeaveReply.Outcome.UNKNOWN;
        };
    return LeaveReply.newBuilder().setOutcome(outcome).build();
  }
}
