package org.goldcrestfall.daemon.gateway;

import io.netty.buffer.ByteBuf;
import io.netty.channel.ChannelHandlerContext;
import io.netty.handler.codec.http.HttpDecoderConfig;
import io.netty.handler.codec.http.HttpMessage;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpResponseDecoder;
import io.netty.handler.codec.http.LastHttpContent;
import java.util.List;

/**
 * Decodes the responses of upstreams. It takes into account whether the request was a HEAD, and
 * shows whether bytes are left after a response, which belong to no request.
 */
final class ResponseDecoder extends HttpResponseDecoder {

  private static final int MAX_LINE_BYTES = 8_192;
  private static final int MAX_HEADER_BYTES = 32_768;
  private static final int MAX_CHUNK_BYTES = 65_536;

  private boolean headRequest;
  private boolean ended;
  private boolean bytesAfterEnd;

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
    return bytesAfterEnd || actualReadableBytes() > 0;
  }

  @Override
  protected void decode(ChannelHandlerContext c, ByteBuf in, List<Object> out) throws Exception {
    // The status line and headers are consumed line by line, before a head is decoded.
    bytesAfterEnd |= ended && in.isReadable();
    int before = out.size();
    super.decode(c, in, out);
    for (Object message : out.subList(before, out.size())) {
      if (message instanceof HttpResponse) {
        ended = false;
        bytesAfterEnd = false;
      }
      ended |= message instanceof LastHttpContent;
    }
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
