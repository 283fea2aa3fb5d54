package org.goldcrestfall.daemon.gateway;

import io.netty.handler.codec.http.HttpDecoderConfig;
import io.netty.handler.codec.http.HttpMessage;
import io.netty.handler.codec.http.HttpRequestDecoder;

/**
 * Decodes callers' requests. A message of ambiguous length is refused to prevent request smuggling:
 * the upstream could use the other length and parse part of the body as a second request.
 */
final class RequestDecoder extends HttpRequestDecoder {

  private static final int MAX_LINE_BYTES = 8_192;
  private static final int MAX_CHUNK_BYTES = 65_536;

  RequestDecoder(int maxHeaderBytes) {
    super(
        new HttpDecoderConfig()
            .setMaxInitialLineLength(MAX_LINE_BYTES)
            .setMaxHeaderSize(maxHeaderBytes)
            .setMaxChunkSize(MAX_CHUNK_BYTES)
            .setHeadersFactory(BoundedHeaders.FACTORY)
            .setTrailersFactory(BoundedHeaders.FACTORY));
  }

  @Override
  protected void handleTransferEncodingChunkedWithContentLength(HttpMessage message) {
    throw new IllegalArgumentException(
        "message has both Content-Length and Transfer-Encoding: chunked");
  }
}
