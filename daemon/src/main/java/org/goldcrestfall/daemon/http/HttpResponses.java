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

/** Creates HTTP responses, including the error response of each {@link ErrorKind}. */
public final class HttpResponses {

  /** Header with the request id, which is set in every response to a caller if the id is known. */
  public static final String REQUEST_ID_HEADER = "Goldcrestfall-Request-Id";

  private static final int RETRY_AFTER_SECONDS = 1;

  private HttpResponses() {}

  /** Returns a response with a JSON body. */
  public static HttpResponse json(int status, Object value) {
    return HttpResponse.create()
        .withStatus(StatusCodes.get(status))
        .withEntity(HttpEntities.create(ContentTypes.APPLICATION_JSON, Json.bytes(value)));
  }

  /** Returns a plain text response. */
  public static HttpResponse text(int status, String text) {
    return HttpResponse.create().withStatus(StatusCodes.get(status)).withEntity(text);
  }

  /** Returns the response to a failed request; {@code requestId} is empty if it is not known. */
  public static HttpResponse failure(Throwable t, String requestId) {
    return failure(toFailure(t), requestId);
  }

  private static HttpResponse failure(RequestFailure f, String requestId) {
    ErrorKind k = f.kind();
    HttpResponse r = json(k.status(), body(f, requestId));
    if (!requestId.isEmpty()) {
      r = r.addHeader(RawHeader.create(REQUEST_ID_HEADER, requestId));
    }
    if (k.retryable() && (k.status() == 429 || k.status() == 503)) {
      r = r.addHeader(RawHeader.create("Retry-After", String.valueOf(RETRY_AFTER_SECONDS)));
    }
    return r;
  }

  /** Returns the body of the error response to a failure. */
  public static ErrorBody body(RequestFailure f, String requestId) {
    ErrorKind k = f.kind();
    return new ErrorBody(
        new ErrorDetail(
            k.code(), f.getMessage(), k.executionState().code(), k.retryable(), requestId));
  }

  /**
   * Returns the {@link RequestFailure} that caused {@code t}. Other exceptions are mapped to {@link
   * ErrorKind#BODY_TOO_LARGE} or {@link ErrorKind#INTERNAL}.
   */
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

  /** Returns the exception inside the wrapper exceptions that futures add. */
  public static Throwable unwrap(Throwable t) {
    Throwable c = t;
    while ((c instanceof CompletionException || c instanceof ExecutionException)
        && c.getCause() != null) {
      c = c.getCause();
    }
    return c;
  }

  /** The body of an error response. */
  public record ErrorBody(ErrorDetail error) {}

  /** The machine-readable details of an error response. */
  public record ErrorDetail(
      String kind, String message, String run, boolean retry, String requestId) {}
}
