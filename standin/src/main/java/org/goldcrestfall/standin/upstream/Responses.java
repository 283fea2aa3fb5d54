package org.goldcrestfall.standin.upstream;

import java.util.Map;
import org.apache.pekko.http.javadsl.model.ContentTypes;
import org.apache.pekko.http.javadsl.model.HttpEntities;
import org.apache.pekko.http.javadsl.model.HttpRequest;
import org.apache.pekko.http.javadsl.model.HttpResponse;
import org.apache.pekko.http.javadsl.model.StatusCodes;

/** Creates HTTP responses and reads request headers. */
public final class Responses {

  private record ErrorBody(String kind, String message) {}

  private Responses() {}

  /** Returns a response with {@code value} as its JSON body. */
  public static HttpResponse json(int status, Object value) {
    return HttpResponse.create()
        .withStatus(StatusCodes.get(status))
        .withEntity(HttpEntities.create(ContentTypes.APPLICATION_JSON, Json.write(value)));
  }

  /** Returns an error response with an error kind and a message of one sentence. */
  public static HttpResponse error(int status, String kind, String message) {
    return json(status, Map.of("error", new ErrorBody(kind, message)));
  }

  /** Returns the value of a header, or an empty string if the request lacks it. */
  public static String header(HttpRequest request, String name) {
    return request.getHeader(name).map(header -> header.value()).orElse("");
  }
}
