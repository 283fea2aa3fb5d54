package org.goldcrestfall.daemon.control;

import com.fasterxml.jackson.databind.JsonNode;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.util.concurrent.CompletableFuture;
import org.goldcrestfall.core.control.ControlCommand;
import org.goldcrestfall.core.control.ControlQuery;
import org.goldcrestfall.core.control.ControlReply;
import org.goldcrestfall.daemon.http.Json;

/** Implements {@link ControlService} with JSON messages over a {@link ControlClient}. */
public final class JsonControlService implements ControlService {

  /** Time limit of a command or query, including all attempts. */
  public static final long TIMEOUT_MILLIS = 3_000;

  private final ControlClient client;

  /** Creates a service that sends through {@code client}. */
  public JsonControlService(ControlClient client) {
    this.client = client;
  }

  @Override
  public CompletableFuture<ControlReply> submit(ControlCommand command) {
    return client
        .submit(Json.bytes(command), TIMEOUT_MILLIS)
        .thenApply(
            b -> {
              try {
                return Json.mapper().readValue(b, ControlReply.class);
              } catch (IOException e) {
                throw new UncheckedIOException(e);
              }
            });
  }

  @Override
  public CompletableFuture<JsonNode> query(ControlQuery query) {
    return client
        .query(Json.bytes(query), TIMEOUT_MILLIS)
        .thenApply(
            b -> {
              try {
                return Json.mapper().readTree(b);
              } catch (IOException e) {
                throw new UncheckedIOException(e);
              }
            });
  }
}
