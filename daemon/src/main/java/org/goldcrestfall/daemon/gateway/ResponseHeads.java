package org.goldcrestfall.daemon.gateway;

import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpUtil;

/** Checks on the heads of upstreams' responses. */
final class ResponseHeads {

  private ResponseHeads() {}

  /** Returns whether the end of the response shows without the end of its connection. */
  static boolean hasDefinedLength(HttpResponse head) {
    int status = head.status().code();
    return HttpUtil.isTransferEncodingChunked(head)
        || HttpUtil.isContentLengthSet(head)
        || status == 204
        || status == 304;
  }
}
