package org.goldcrestfall.daemon.filter;

import java.util.concurrent.CompletionStage;
import org.apache.pekko.http.javadsl.model.HttpResponse;
import org.goldcrestfall.core.common.ErrorKind;
import org.goldcrestfall.core.common.RequestFailure;
import org.goldcrestfall.core.control.ConfigView;

/**
 * Sets the patience class, from the request header or else the default of the workspace, and the
 * deadline that follows from it.
 */
public final class PatienceFilter implements RequestFilter {

  /** Header that names the patience class of a request. */
  public static final String PATIENCE_HEADER = "Goldcrestfall-Patience";

  @Override
  public CompletionStage<HttpResponse> apply(RequestContext c, Next next) {
    String name =
        c.http()
            .getHeader(PATIENCE_HEADER)
            .map(h -> h.value().trim())
            .orElse(c.workspace().defaultClass());
    ConfigView.PatienceClass p = c.config().classes().get(name);
    if (p == null) {
      throw new RequestFailure(
          ErrorKind.INVALID_PARAMETER, "There is no patience class " + name + ".");
    }
    c.setPatience(p, c.arrivalMillis() + p.deadlineMillis());
    return next.proceed(c);
  }
}
