package org.goldcrestfall.core.routing;

/** A request that this router has sent to an upstream, from {@link Router#onSend} until it ends. */
public final class SentRequest {

  final String upstream;
  final long sentAtMillis;
  final double prefillMillis;
  long firstTokenAtMillis = -1;
  boolean ended;

  SentRequest(String upstream, double prefillMillis, long sentAtMillis) {
    this.upstream = upstream;
    this.prefillMillis = prefillMillis;
    this.sentAtMillis = sentAtMillis;
  }

  /** Returns the upstream that the request was sent to. */
  public String upstream() {
    return upstream;
  }

  boolean awaitsFirstToken() {
    return firstTokenAtMillis < 0 && !ended;
  }
}
