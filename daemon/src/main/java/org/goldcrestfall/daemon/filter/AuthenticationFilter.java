package org.goldcrestfall.daemon.filter;

import java.util.concurrent.CompletionStage;
import java.util.function.Supplier;
import org.apache.pekko.http.javadsl.model.HttpResponse;
import org.goldcrestfall.core.common.ErrorKind;
import org.goldcrestfall.core.common.RequestFailure;
import org.goldcrestfall.core.control.ConfigView;
import org.goldcrestfall.daemon.http.Secrets;

/** Authenticates the caller by its API key and finds the workspace of the key. */
public final class AuthenticationFilter implements RequestFilter {

  private final Supplier<ConfigView> config;

  /** Creates the filter. */
  public AuthenticationFilter(Supplier<ConfigView> config) {
    this.config = config;
  }

  @Override
  public CompletionStage<HttpResponse> apply(RequestContext c, Next next) {
    String secret =
        Secrets.bearerToken(c.http())
            .orElseThrow(() -> unauthenticated("The request needs a bearer key."));
    ConfigView view = config.get();
    ConfigView.Key k = view.keys().get(Secrets.sha256(secret));
    if (k == null) {
      throw unauthenticated("The key is not known.");
    }
    if (k.revoked()) {
      throw new RequestFailure(ErrorKind.KEY_REVOKED, "The key " + k.keyId() + " was revoked.");
    }
    ConfigView.Workspace w = view.workspaces().get(k.workspace());
    if (w == null) {
      throw unauthenticated("The key belongs to no workspace.");
    }
    c.setCaller(view, k, w);
    return next.proceed(c);
  }

  private static RequestFailure unauthenticated(String message) {
    return new RequestFailure(ErrorKind.UNAUTHENTICATED, message);
  }
}
