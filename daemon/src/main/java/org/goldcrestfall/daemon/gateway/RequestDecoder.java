package org.goldcrestfall.daemon.gateway;

import io.netty.handler.codec.http.HttpDecoderConfig;
import io.netty.handler.codec.http.HttpMessage;
import io.netty.handler.codec.http.HttpRequestDecoder;

/**
 * Decodes callers' requests. A message whose length could be read in two ways is refused, because
 * the upstream could read it in the other one and find a second request in it.
 */
final class RequestDecoder extends HttpRequestDecoder {

  private static final int MAX_LINE_BYTES = 8_192;
  private static final int MAX_CHUNK_BYTES = 65_536;

  RequestDecoder(int maxHeaderBytes) {
    super(
        new HttpDecoderConfig()
            .setMaxInitialLineLength(MAX_LINE_BYTES)
            .setMaxHeaderSize(maxHeaderBytes)
            .setMaxChunkSize(MAX_CHUNK_BYTES));
  }

  @Override
  protected void handleTransferEncodingChunkedWithContentLength(HttpMessage message) {
    throw new IllegalArgumentException("both Content-Length and chunked");
  }
}
