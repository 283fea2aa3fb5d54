package org.goldcrestfall.daemon.http;

import java.util.concurrent.CompletionException;
import java.util.concurrent.ExecutionException;
import org.apache.pekko.http.javadsl.model.ContentTypes;
import org.apache.pekko.http.javadsl.model.HttpEntities;
import org.apache.pekko.http.javadsl.model.HttpResponse;
import org.apache.pekko.http.javadsl.model.StatusCodes;
import org.apache.pekko.http.javadsl.model.headers.RawHeader;
import org.apache.pekko.http.scaladsl.model.EntityStreamSizeException;
import org.goldcrestfall.core.common.ErrorKind;
import org.goldcrestfall.core.common.RequestFailure;

/** Builds HTTP answers, and maps failures to them by the table of {@link ErrorKind}. */
public final class Answers {

  /** Header that carries the id of the request in every answer to a caller. */
  public static final String REQUEST_ID_HEADER = "Goldcrestfall-Request-Id";

  private static final int RETRY_AFTER_SECONDS = 1;

  private Answers() {}

  /** Returns an answer with a JSON body. */
  public static HttpResponse json(int status, Object value) {
    return HttpResponse.create()
        .withStatus(StatusCodes.get(status))
        .withEntity(HttpEntities.create(ContentTypes.APPLICATION_JSON, Json.bytes(value)));
  }

  /** Returns a plain text answer. */
  public static HttpResponse text(int status, String text) {
    return HttpResponse.create().withStatus(StatusCodes.get(status)).withEntity(text);
  }

  /** Returns the answer to a failed request; {@code requestId} may be empty. */
  public static HttpResponse failure(Throwable t, String requestId) {
    return failure(toFailure(t), requestId);
  }

  private static HttpResponse failure(RequestFailure f, String requestId) {
    ErrorKind k = f.kind();
    HttpResponse r = json(k.status(), body(f, requestId));
    if (!requestId.isEmpty()) {
      r = r.addHeader(RawHeader.create(REQUEST_ID_HEADER, requestId));
    }
    if (k.retry() && (k.status() == 429 || k.status() == 503)) {
      r = r.addHeader(RawHeader.create("Retry-After", String.valueOf(RETRY_AFTER_SECONDS)));
    }
    return r;
  }

  /** Returns the error body of a failure. */
  public static ErrorBody body(RequestFailure f, String requestId) {
    ErrorKind k = f.kind();
    return new ErrorBody(
        new ErrorDetail(k.code(), f.getMessage(), k.run().code(), k.retry(), requestId));
  }

  /** Returns the failure behind {@code t}; anything unexpected is {@link ErrorKind#INTERNAL}. */
  public static RequestFailure toFailure(Throwable t) {
    Throwable c = unwrap(t);
    if (c instanceof RequestFailure f) {
      return f;
    }
    if (c instanceof EntityStreamSizeException) {
      return new RequestFailure(ErrorKind.BODY_TOO_LARGE, "The body is larger than the limit.");
    }
    return new RequestFailure(ErrorKind.INTERNAL, "An internal error occurred.");
  }

  /** Returns the cause inside the wrappers that futures add. */
  public static Throwable unwrap(Throwable t) {
    Throwable c = t;
    while ((c instanceof CompletionException || c instanceof ExecutionException)
        && c.getCause() != null) {
      c = c.getCause();
    }
    return c;
  }

  /** The body of an error answer. */
  public record ErrorBody(ErrorDetail error) {}

  /** Machine-readable detail of an error answer. */
  public record ErrorDetail(
      String kind, String message, String run, boolean retry, String requestId) {}
}
