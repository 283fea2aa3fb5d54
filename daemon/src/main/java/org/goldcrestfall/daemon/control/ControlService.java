package org.goldcrestfall.daemon.control;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.concurrent.CompletableFuture;
import org.goldcrestfall.core.control.ControlCommand;
import org.goldcrestfall.core.control.ControlQuery;
import org.goldcrestfall.core.control.ControlReply;

/** Commands and queries on the replicated control state, available in every daemon. */
public interface ControlService {

  /**
   * Commits a command. The future fails with a {@code RequestFailure} of kind {@code NO_QUORUM} if
   * the command was not and will not be committed, and with {@link UnknownOutcomeException} if it
   * may have been committed or may still be; the same command can then be submitted again.
   */
  CompletableFuture<ControlReply> submit(ControlCommand command);

  /** Queries the committed state; {@link ControlQuery} documents the JSON result of each query. */
  CompletableFuture<JsonNode> query(ControlQuery query);
}
