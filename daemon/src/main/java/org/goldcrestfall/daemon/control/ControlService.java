package org.goldcrestfall.daemon.control;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.concurrent.CompletableFuture;
import org.goldcrestfall.core.control.ControlCommand;
import org.goldcrestfall.core.control.ControlQuery;
import org.goldcrestfall.core.control.ControlReply;

/** Typed access to the replicated control state from any daemon. */
public interface ControlService {

  /**
   * Commits a command. Fails with {@code RequestFailure(NO_QUORUM)} if the command certainly was
   * not committed, and with {@code UnknownOutcomeException} if it may have been; the same command
   * can then be submitted again.
   */
  CompletableFuture<ControlReply> submit(ControlCommand command);

  /** Reads the committed state; the answer is JSON as stated at each query. */
  CompletableFuture<JsonNode> query(ControlQuery query);
}
