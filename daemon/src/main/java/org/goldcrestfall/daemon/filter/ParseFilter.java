package org.goldcrestfall.daemon.filter;

import com.google.common.hash.Hashing;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.CompletionStage;
import java.util.function.Predicate;
import org.apache.pekko.actor.typed.ActorSystem;
import org.apache.pekko.http.javadsl.model.HttpEntity;
import org.apache.pekko.http.javadsl.model.HttpMethods;
import org.apache.pekko.http.javadsl.model.HttpRequest;
import org.apache.pekko.http.javadsl.model.HttpResponse;
import org.goldcrestfall.core.common.ErrorKind;
import org.goldcrestfall.core.common.RequestFailure;
import org.goldcrestfall.core.control.ConfigView;
import org.goldcrestfall.daemon.settings.Settings;
import org.goldcrestfall.daemon.upstream.ChatCall;

/** Reads the body up to the size limit and parses it as a chat completion or a service call. */
public final class ParseFilter implements RequestFilter {

  /** Path of chat completions. */
  public static final String CHAT_PATH = "/v1/chat/completions";

  /** Prefix of the paths of plain services. */
  public static final String SERVICE_PREFIX = "/v1/services/";

  private static final long BODY_TIMEOUT_MILLIS = 30_000;

  private final ActorSystem<?> system;
  private final Settings.Limits limits;
  private final Predicate<String> knownModel;

  /**
   * Creates the filter.
   *
   * @param knownModel tests whether a model may be served; requests for other models are refused
   */
  public ParseFilter(ActorSystem<?> system, Settings.Limits limits, Predicate<String> knownModel) {
    this.system = system;
    this.limits = limits;
    this.knownModel = knownModel;
  }

  @Override
  public CompletionStage<HttpResponse> apply(RequestContext c, Next next) {
    return c.http()
        .entity()
        .withSizeLimit(limits.maxBodyBytes())
        .toStrict(BODY_TIMEOUT_MILLIS, system)
        .thenCompose(
            e -> {
              parse(c, e);
              return next.proceed(c);
            });
  }

  private void parse(RequestContext c, HttpEntity.Strict entity) {
    byte[] body = entity.getData().toArray();
    HttpRequest r = c.http();
    String path = r.getUri().path();
    String hash = hash(r, body);
    if (path.equals(CHAT_PATH)) {
      parseChat(c, body, hash);
      return;
    }
    String servicePath = path.substring(SERVICE_PREFIX.length());
    int slash = servicePath.indexOf('/');
    String name = slash < 0 ? servicePath : servicePath.substring(0, slash);
    ConfigView.Service service = c.config().services().get(name);
    if (service == null) {
      throw new RequestFailure(ErrorKind.UNKNOWN_SERVICE, "There is no service " + name + ".");
    }
    String query = r.getUri().rawQueryString().map(q -> "?" + q).orElse("");
    String pathAndQuery = (slash < 0 ? "/" : servicePath.substring(slash)) + query;
    String contentType = entity.getContentType().toString();
    c.setCall(
        new ServiceCall(service, r.method().value(), pathAndQuery, contentType, body),
        hash,
        body.length);
  }

  private void parseChat(RequestContext c, byte[] body, String hash) {
    if (!c.http().method().equals(HttpMethods.POST)) {
      throw new RequestFailure(ErrorKind.NOT_FOUND, "Chat completions are requested by POST.");
    }
    ChatCall call = ChatCall.parse(body, limits.defaultOutputTokens(), limits.maxOutputTokens());
    if (!knownModel.test(call.model())) {
      throw new RequestFailure(
          ErrorKind.UNKNOWN_MODEL, "No engine serves the model " + call.model() + ".");
    }
    c.setCall(call, hash, body.length);
  }

  private static String hash(HttpRequest r, byte[] body) {
    return Hashing.sha256()
        .newHasher()
        .putString(r.method().value() + " " + r.getUri().toRelative(), StandardCharsets.UTF_8)
        .putByte((byte) 0)
        .putBytes(body)
        .hash()
        .toString();
  }
}
