package org.goldcrestfall.daemon.filter;

import org.goldcrestfall.core.control.ConfigView;

/** A parsed call of a plain service. {@code pathAndQuery} starts with a slash. */
public record ServiceCall(
    ConfigView.Service service,
    String method,
    String pathAndQuery,
    String contentType,
    byte[] body) {

  /** Returns whether the call may be repeated. A call that may not is a booking. */
  public boolean isIdempotent() {
    return service.idempotentMethods().contains(method);
  }
}
