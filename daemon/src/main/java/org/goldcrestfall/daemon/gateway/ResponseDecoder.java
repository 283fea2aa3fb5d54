package org.goldcrestfall.daemon.gateway;

import io.netty.handler.codec.http.HttpDecoderConfig;
import io.netty.handler.codec.http.HttpMessage;
import io.netty.handler.codec.http.HttpResponseDecoder;

/**
 * Decodes the answers of upstreams. It knows whether the request was a HEAD, and tells whether
 * bytes are left behind an answer, which belong to no request.
 */
final class ResponseDecoder extends HttpResponseDecoder {

  private static final int MAX_LINE_BYTES = 8_192;
  private static final int MAX_HEADER_BYTES = 65_536;
  private static final int MAX_CHUNK_BYTES = 65_536;

  private boolean headRequest;

  ResponseDecoder() {
    super(
        new HttpDecoderConfig()
            .setMaxInitialLineLength(MAX_LINE_BYTES)
            .setMaxHeaderSize(MAX_HEADER_BYTES)
            .setMaxChunkSize(MAX_CHUNK_BYTES));
  }

  /** States whether the next answer belongs to a HEAD request, and so has no body. */
  void setHeadRequest(boolean next) {
    headRequest = next;
  }

  /** Returns whether bytes have arrived that no answer has used. */
  boolean hasUnreadBytes() {
    return actualReadableBytes() > 0;
  }

  @Override
  protected boolean isContentAlwaysEmpty(HttpMessage message) {
    return headRequest || super.isContentAlwaysEmpty(message);
  }

  @Override
  protected void handleTransferEncodingChunkedWithContentLength(HttpMessage message) {
    throw new IllegalArgumentException("both Content-Length and chunked");
  }
}
