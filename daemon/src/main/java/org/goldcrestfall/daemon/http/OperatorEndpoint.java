package org.goldcrestfall.daemon.http;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import com.google.common.base.Splitter;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import org.apache.pekko.actor.typed.ActorSystem;
import org.apache.pekko.http.javadsl.model.HttpMethods;
import org.apache.pekko.http.javadsl.model.HttpRequest;
import org.apache.pekko.http.javadsl.model.HttpResponse;
import org.goldcrestfall.core.common.ErrorKind;
import org.goldcrestfall.core.common.MillisClock;
import org.goldcrestfall.core.common.RequestFailure;
import org.goldcrestfall.core.control.ControlCommand;
import org.goldcrestfall.core.control.ControlQuery;
import org.goldcrestfall.core.control.ControlReply;
import org.goldcrestfall.core.control.Intent;
import org.goldcrestfall.daemon.control.ControlService;
import org.goldcrestfall.daemon.settings.Settings;

/**
 * The operator API. Changes are submitted as intents, from which the control group creates plans
 * that are then confirmed or dropped. All other operations read from the control group or from this
 * daemon's view of the cluster.
 */
public final class OperatorEndpoint implements Endpoint {

  private static final String ROOT = "/admin/v1/";
  private static final int DEFAULT_LIMIT = 50;
  private static final int MAX_LIMIT = 1_000;
  private static final long MAX_BODY_BYTES = 64 * 1024;
  private static final long BODY_TIMEOUT_MILLIS = 10_000;
  private static final int MAX_OPERATION_ID_CHARS = 100;

  private final ActorSystem<?> system;
  private final Settings settings;
  private final ControlService control;
  private final FleetView cluster;
  private final MillisClock utcClock;

  /** Creates the endpoint. */
  public OperatorEndpoint(
      ActorSystem<?> system,
      Settings settings,
      ControlService control,
      FleetView cluster,
      MillisClock utcClock) {
    this.system = system;
    this.settings = settings;
    this.control = control;
    this.cluster = cluster;
    this.utcClock = utcClock;
  }

  @Override
  public boolean accepts(String path) {
    return path.startsWith(ROOT);
  }

  @Override
  public CompletionStage<HttpResponse> handle(
      HttpRequest request, CompletableFuture<Void> callerDisconnected) {
    String operator;
    try {
      operator = authenticate(request);
    } catch (RequestFailure f) {
      request.discardEntityBytes(system);
      throw f;
    }
    List<String> path =
        Splitter.on('/').splitToList(request.getUri().path().substring(ROOT.length()));
    if (request.method().equals(HttpMethods.GET)) {
      request.discardEntityBytes(system);
      return get(path, request);
    }
    if (request.method().equals(HttpMethods.POST)) {
      return request
          .entity()
          .withSizeLimit(MAX_BODY_BYTES)
          .toStrict(BODY_TIMEOUT_MILLIS, system)
          .thenCompose(e -> post(path, operator, Json.parse(e.getData().toArray())));
    }
    request.discardEntityBytes(system);
    throw notFound(request.getUri().path());
  }

  private String authenticate(HttpRequest request) {
    String hash = Secrets.bearerToken(request).map(Secrets::sha256).orElse("");
    for (Settings.Operator o : settings.operators()) {
      if (Secrets.constantTimeEquals(o.tokenSha256(), hash)) {
        return o.name();
      }
    }
    throw new RequestFailure(ErrorKind.UNAUTHENTICATED, "The operator token is not valid.");
  }

  private CompletionStage<HttpResponse> get(List<String> path, HttpRequest request) {
    String argument = path.size() > 1 ? path.get(1) : "";
    switch (path.get(0)) {
      case "hosts":
        return completed(HttpResponses.json(200, Map.of("hosts", cluster.hosts())));
      case "upstreams":
        return completed(HttpResponses.json(200, Map.of("upstreams", cluster.upstreams())));
      case "control":
        return completed(HttpResponses.json(200, cluster.control()));
      case "workspaces":
        return read(new ControlQuery.Workspaces(), null);
      case "budgets":
        return read(new ControlQuery.Budget(requiredSegment(argument, "workspace")), null);
      case "plans":
        return read(new ControlQuery.PlanOf(planId(requiredSegment(argument, "plan id"))), null);
      case "billing":
        return read(
            new ControlQuery.Billing(requiredParameter(request, "workspace"), limit(request)),
            "records");
      case "bookings":
        return read(
            new ControlQuery.Bookings(requiredParameter(request, "workspace"), limit(request)),
            "bookings");
      case "audit":
        String object = request.getUri().query().get("object").orElse("");
        return read(new ControlQuery.Audit(object, limit(request)), "entries");
      case "orders":
        return read(new ControlQuery.Orders(limit(request)), "orders");
      default:
        throw notFound(request.getUri().path());
    }
  }

  /**
   * Returns the result of a query, wrapped in an object under {@code listName} unless it is null.
   */
  private CompletionStage<HttpResponse> read(ControlQuery query, String listName) {
    return control
        .query(query)
        .thenApply(
            n -> {
              if (n.isNull() || n.isMissingNode()) {
                throw new RequestFailure(ErrorKind.NOT_FOUND, "There is no such object.");
              }
              return HttpResponses.json(200, listName == null ? n : Map.of(listName, n));
            });
  }

  private CompletionStage<HttpResponse> post(List<String> path, String operator, JsonNode body) {
    String operationId = operationId(body);
    if (path.equals(List.of("plans"))) {
      checkFields(body, Set.of("operation_id", "intent"));
      if (!body.path("intent").isObject()) {
        throw invalid("intent must be an object with a type.");
      }
      Intent intent = Json.convert(body.get("intent"), Intent.class);
      return submitPlan(
          new ControlCommand.CreatePlan(operationId, operator, intent, utcClock.nowMillis()));
    }
    if (path.equals(List.of("keys"))) {
      checkFields(body, Set.of("operation_id", "workspace", "key_id"));
      return createKey(operationId, operator, body);
    }
    if (path.size() == 3 && path.get(0).equals("plans")) {
      checkFields(body, Set.of("operation_id"));
      long id = planId(path.get(1));
      if (path.get(2).equals("confirm")) {
        return submitPlan(
            new ControlCommand.ConfirmPlan(operationId, operator, id, utcClock.nowMillis()));
      }
      if (path.get(2).equals("drop")) {
        return submitPlan(
            new ControlCommand.DropPlan(operationId, operator, id, utcClock.nowMillis()));
      }
    }
    throw notFound(ROOT + String.join("/", path));
  }

  private CompletionStage<HttpResponse> submitPlan(ControlCommand c) {
    return control.submit(c).thenApply(r -> HttpResponses.json(200, toPlanned(r).plan()));
  }

  private CompletionStage<HttpResponse> createKey(String operationId, String operator, JsonNode b) {
    String workspace = requiredText(b, "workspace");
    String keyId = requiredText(b, "key_id");
    String key =
        Secrets.deriveApiKey(settings.peer().key(), operator, operationId, workspace, keyId);
    Intent intent = new Intent.CreateKey(workspace, keyId, Secrets.sha256(key));
    return control
        .submit(new ControlCommand.CreatePlan(operationId, operator, intent, utcClock.nowMillis()))
        .thenApply(
            r -> {
              ObjectNode n = Json.mapper().createObjectNode();
              n.put("key", key);
              n.set("plan", Json.mapper().valueToTree(toPlanned(r).plan()));
              return HttpResponses.json(200, n);
            });
  }

  private static ControlReply.Planned toPlanned(ControlReply r) {
    if (r instanceof ControlReply.Planned p) {
      return p;
    }
    if (r instanceof ControlReply.Refused f) {
      throw new RequestFailure(f.kind(), f.message());
    }
    throw new IllegalStateException("expected a plan or a refusal but got " + r);
  }

  private static String operationId(JsonNode body) {
    String id = requiredText(body, "operation_id");
    if (id.length() > MAX_OPERATION_ID_CHARS) {
      throw invalid("operation_id must have at most " + MAX_OPERATION_ID_CHARS + " characters.");
    }
    return id;
  }

  private static void checkFields(JsonNode body, Set<String> known) {
    body.fieldNames()
        .forEachRemaining(
            f -> {
              if (!known.contains(f)) {
                throw invalid("There is no field " + f + ".");
              }
            });
  }

  private static String requiredText(JsonNode body, String field) {
    JsonNode v = body.path(field);
    if (!v.isTextual() || v.textValue().isEmpty()) {
      throw invalid(field + " must be a non-empty string.");
    }
    return v.textValue();
  }

  private static String requiredSegment(String argument, String name) {
    if (argument.isEmpty()) {
      throw invalid("The path needs a " + name + ".");
    }
    return argument;
  }

  private static String requiredParameter(HttpRequest r, String name) {
    return r.getUri()
        .query()
        .get(name)
        .filter(v -> !v.isEmpty())
        .orElseThrow(() -> invalid("The parameter " + name + " is missing."));
  }

  private static int limit(HttpRequest r) {
    String text = r.getUri().query().get("limit").orElse(String.valueOf(DEFAULT_LIMIT));
    if (!text.matches("[0-9]{1,6}") || Integer.parseInt(text) < 1) {
      throw invalid("limit must be a whole number from 1 to " + MAX_LIMIT + ".");
    }
    return Math.min(Integer.parseInt(text), MAX_LIMIT);
  }

  private static long planId(String text) {
    if (!text.matches("[0-9]{1,18}")) {
      throw invalid("A plan id is a whole number.");
    }
    return Long.parseLong(text);
  }

  private static CompletionStage<HttpResponse> completed(HttpResponse r) {
    return CompletableFuture.completedFuture(r);
  }

  private static RequestFailure invalid(String message) {
    return new RequestFailure(ErrorKind.INVALID_PARAMETER, message);
  }

  private static RequestFailure notFound(String path) {
    return new RequestFailure(ErrorKind.NOT_FOUND, "There is nothing at " + path + ".");
  }
}
