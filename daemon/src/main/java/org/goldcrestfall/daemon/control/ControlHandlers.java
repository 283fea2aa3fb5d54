package org.goldcrestfall.daemon.control;

import com.google.common.flogger.FluentLogger;
import com.google.protobuf.ByteString;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionException;
import org.goldcrestfall.core.common.Incarnation;
import org.goldcrestfall.core.consensus.Event;
import org.goldcrestfall.core.consensus.Member;
import org.goldcrestfall.core.consensus.Message;
import org.goldcrestfall.core.consensus.Role;
import org.goldcrestfall.wire.PeerTransport;
import org.goldcrestfall.wire.generated.Body;
import org.goldcrestfall.wire.generated.Body.KindCase;
import org.goldcrestfall.wire.generated.ControlCall;
import org.goldcrestfall.wire.generated.ControlResult;
import org.goldcrestfall.wire.generated.JoinReply;
import org.goldcrestfall.wire.generated.JoinRequest;

/** Handles messages from other daemons on behalf of a control member. */
final class ControlHandlers {

  private static final FluentLogger logger = FluentLogger.forEnclosingClass();
  private static final List<KindCase> CONSENSUS_KINDS =
      List.of(
          KindCase.VOTE_REQUEST,
          KindCase.VOTE_REPLY,
          KindCase.APPEND_REQUEST,
          KindCase.APPEND_REPLY,
          KindCase.SNAPSHOT_CHUNK,
          KindCase.SNAPSHOT_REPLY);

  private final ControlReplica replica;
  private final ControlSettings settings;
  private final PeerTransport transport;

  ControlHandlers(ControlReplica replica, ControlSettings settings, PeerTransport transport) {
    this.replica = replica;
    this.settings = settings;
    this.transport = transport;
  }

  void register() {
    CONSENSUS_KINDS.forEach(kind -> transport.registerHandler(kind, this::onConsensusMessage));
    transport.registerHandler(KindCase.JOIN_REQUEST, this::onJoinRequest);
    transport.registerHandler(KindCase.LEAVE_REQUEST, this::onLeaveRequest);
    transport.registerHandler(
        KindCase.CONTROL_CALL, (sender, body) -> onControlCall(body.getControlCall()));
  }

  private CompletableFuture<Body> onConsensusMessage(Incarnation sender, Body body) {
    try {
      Message message = MessageCodec.decode(body);
      if (ControlReplica.hostOf(message.from()).equals(sender.host())) {
        replica.post(new Event.Received(message));
      } else {
        logger.atWarning().log(
            "consensus: dropped a message that names member %s as its sender but came from host %s",
            message.from(), sender.host());
      }
    } catch (IllegalArgumentException e) {
      logger.atWarning().log(
          "consensus: dropped an invalid message from %s: %s", sender, e.getMessage());
    }
    return null;
  }

  private CompletableFuture<Body> onJoinRequest(Incarnation sender, Body body) {
    JoinRequest request = body.getJoinRequest();
    ControlStatus status = replica.status();
    boolean eligible =
        (settings.policy().openMembership() || settings.members().containsKey(request.getHost()))
            && request.getHost().equals(sender.host())
            && request.getHost().equals(ControlReplica.hostOf(request.getMember()));
    if (eligible && status.members().all().isEmpty()) {
      replica.recordAsking(request.getAddress());
    }
    boolean accepted = eligible && status.role() == Role.LEADER;
    if (accepted && status.members().find(request.getMember()).isEmpty()) {
      replica.post(
          new Event.Join(
              new Member(request.getMember(), request.getHost(), request.getAddress(), false)));
    }
    JoinReply reply =
        JoinReply.newBuilder()
            .setAccepted(accepted)
            .setLeaderHint(status.leaderAddress())
            .setMember(status.memberId())
            .setFormed(!status.members().all().isEmpty() || replica.identity().rejoins())
            .build();
    return CompletableFuture.completedFuture(Body.newBuilder().setJoinReply(reply).build());
  }

  private CompletableFuture<Body> onLeaveRequest(Incarnation sender, Body body) {
    String member = body.getLeaveRequest().getMember();
    if (!ControlReplica.hostOf(member).equals(sender.host())) {
      return CompletableFuture.failedFuture(
          new IllegalArgumentException(
              "member %s can't be released by %s".formatted(member, sender.host())));
    }
    return CompletableFuture.supplyAsync(() -> replica.release(member), replica.executor())
        .thenApply(d -> Body.newBuilder().setLeaveReply(GroupLeaver.encode(d)).build());
  }

  private CompletableFuture<Body> onControlCall(ControlCall call) {
    byte[] payload = call.getPayload().toByteArray();
    CompletableFuture<byte[]> reply =
        call.getQuery() ? replica.query(payload) : replica.submit(payload);
    return reply
        .thenApply(ControlHandlers::okResult)
        .exceptionally(ControlHandlers::errorResult)
        .thenApply(result -> Body.newBuilder().setControlResult(result).build());
  }

  static ControlResult okResult(byte[] payload) {
    return ControlResult.newBuilder()
        .setStatus(ControlResult.Status.OK)
        .setPayload(ByteString.copyFrom(payload))
        .build();
  }

  static ControlResult errorResult(Throwable failure) {
    ControlResult.Builder result = ControlResult.newBuilder();
    Throwable cause = failure instanceof CompletionException ? failure.getCause() : failure;
    if (cause instanceof NotLeaderException e) {
      result.setStatus(ControlResult.Status.NOT_LEADER).setLeaderAddress(e.leaderAddress());
    } else if (cause instanceof UnknownOutcomeException) {
      result.setStatus(ControlResult.Status.UNKNOWN);
    } else {
      result.setStatus(ControlResult.Status.REJECTED);
    }
    return result.setMessage(String.valueOf(cause.getMessage())).build();
  }
}
