package org.goldcrestfall.daemon.gateway;

import io.netty.handler.codec.http.HttpDecoderConfig;
import io.netty.handler.codec.http.HttpMessage;
import io.netty.handler.codec.http.HttpResponseDecoder;

/**
 * Decodes the responses of upstreams. It takes into account whether the request was a HEAD, and
 * shows whether bytes are left after a response, which belong to no request.
 */
final class ResponseDecoder extends HttpResponseDecoder {

  private static final int MAX_LINE_BYTES = 8_192;
  private static final int MAX_HEADER_BYTES = 32_768;
  private static final int MAX_CHUNK_BYTES = 65_536;

  private boolean headRequest;

  ResponseDecoder() {
    super(
        new HttpDecoderConfig()
            .setMaxInitialLineLength(MAX_LINE_BYTES)
            .setMaxHeaderSize(MAX_HEADER_BYTES)
            .setMaxChunkSize(MAX_CHUNK_BYTES)
            .setHeadersFactory(BoundedHeaders.FACTORY)
            .setTrailersFactory(BoundedHeaders.FACTORY));
  }

  /** Sets whether the next response belongs to a HEAD request, and so has no body. */
  void setHeadRequest(boolean isHeadRequest) {
    headRequest = isHeadRequest;
  }

  /** Returns whether bytes have arrived that are not part of a decoded response. */
  boolean hasUnreadBytes() {
    return actualReadableBytes() > 0;
  }

  @Override
  protected boolean isContentAlwaysEmpty(HttpMessage message) {
    return headRequest || super.isContentAlwaysEmpty(message);
  }

  @Override
  protected void handleTransferEncodingChunkedWithContentLength(HttpMessage message) {
    throw new IllegalArgumentException(
        "message has both Content-Length and Transfer-Encoding: chunked");
  }
}
