package org.goldcrestfall.daemon.filter;

import java.util.Optional;
import java.util.UUID;
import java.util.concurrent.CompletionStage;
import org.apache.pekko.http.javadsl.model.HttpHeader;
import org.apache.pekko.http.javadsl.model.HttpResponse;
import org.goldcrestfall.core.common.ErrorKind;
import org.goldcrestfall.core.common.RequestFailure;

/** Sets the request id: the one that the caller sent, or else a generated one. */
public final class RequestIdFilter implements RequestFilter {

  /** Header with the caller's request id, which is unique within its workspace. */
  public static final String ID_HEADER = "Idempotency-Key";

  private static final int MAX_ID_CHARS = 128;

  @Override
  public CompletionStage<HttpResponse> apply(RequestContext c, Next next) {
    Optional<String> id = c.http().getHeader(ID_HEADER).map(HttpHeader::value);
    id.ifPresent(RequestIdFilter::checkId);
    c.setRequestId(id.orElseGet(() -> UUID.randomUUID().toString()), id.isPresent());
    return next.proceed(c);
  }

  private static void checkId(String id) {
    if (id.isBlank() || id.length() > MAX_ID_CHARS) {
      throw new RequestFailure(
          ErrorKind.INVALID_PARAMETER,
          ID_HEADER + " must have 1 to " + MAX_ID_CHARS + " characters.");
    }
  }
}
