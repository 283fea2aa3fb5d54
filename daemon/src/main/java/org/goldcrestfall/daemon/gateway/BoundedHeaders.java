package org.goldcrestfall.daemon.gateway;

import io.netty.handler.codec.http.DefaultHttpHeaders;
import io.netty.handler.codec.http.DefaultHttpHeadersFactory;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpHeadersFactory;
import io.netty.handler.codec.http.TooLongHttpHeaderException;

/**
 * The header lines of a message, of a bounded number. A short line takes many times its bytes on
 * the heap, so a bound on the bytes received is not enough.
 */
final class BoundedHeaders extends DefaultHttpHeaders {

  static final int MAX_LINES = 200;

  /** Creates the headers and trailers of decoded messages. */
  static final HttpHeadersFactory FACTORY =
      new HttpHeadersFactory() {
        @Override
        public HttpHeaders newHeaders() {
          return new BoundedHeaders();
        }

        @Override
        public HttpHeaders newEmptyHeaders() {
          return new BoundedHeaders();
        }
      };

  private int lines;

  private BoundedHeaders() {
    super(
        DefaultHttpHeadersFactory.headersFactory().getNameValidator(),
        DefaultHttpHeadersFactory.headersFactory().getValueValidator());
  }

  private void countLine() {
    if (++lines > MAX_LINES) {
      throw new TooLongHttpHeaderException("more than " + MAX_LINES + " header lines");
    }
  }

  @Override
  public HttpHeaders add(String name, Object value) {
    countLine();
    return super.add(name, value);
  }

  @Override
  public HttpHeaders add(CharSequence name, Object value) {
    countLine();
    return super.add(name, value);
  }
}
