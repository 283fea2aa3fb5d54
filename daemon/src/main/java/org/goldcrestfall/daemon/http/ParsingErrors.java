package org.goldcrestfall.daemon.http;

import org.apache.pekko.event.LoggingAdapter;
import org.apache.pekko.http.ParsingErrorHandler;
import org.apache.pekko.http.javadsl.model.HttpResponse;
import org.apache.pekko.http.scaladsl.model.ErrorInfo;
import org.apache.pekko.http.scaladsl.model.StatusCode;
import org.apache.pekko.http.scaladsl.settings.ServerSettings;
import org.goldcrestfall.core.common.ErrorKind;
import org.goldcrestfall.core.common.RequestFailure;

/** Reports requests that the HTTP library cannot parse in the same format as all other errors. */
public final class ParsingErrors extends ParsingErrorHandler {

  /** The instance; the HTTP library looks it up by this name because it expects a Scala object. */
  @SuppressWarnings("checkstyle:MemberName")
  public static final ParsingErrors MODULE$ = new ParsingErrors();

  private static final int STATUS_CONTENT_TOO_LARGE = 413;
  private static final int STATUS_URI_TOO_LONG = 414;
  private static final int STATUS_HEADERS_TOO_LARGE = 431;

  private ParsingErrors() {}

  @Override
  public HttpResponse handle(
      StatusCode status, ErrorInfo info, LoggingAdapter log, ServerSettings settings) {
    return HttpResponses.failure(new RequestFailure(kind(status.intValue()), info.summary()), "");
  }

  private static ErrorKind kind(int status) {
    return switch (status) {
      case STATUS_CONTENT_TOO_LARGE -> ErrorKind.BODY_TOO_LARGE;
      case STATUS_URI_TOO_LONG, STATUS_HEADERS_TOO_LARGE -> ErrorKind.HEADER_TOO_LARGE;
      default -> ErrorKind.MALFORMED_REQUEST;
    };
  }
}
