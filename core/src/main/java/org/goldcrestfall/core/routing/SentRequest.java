package org.goldcrestfall.core.routing;

/** A request that this router has sent to an upstream, from {@link Router#onSend} until it ends. */
public final class SentRequest {

  final String upstream;
  final long sentMillis;
  final double prefillMillis;
  long firstTokenMillis = -1;
  boolean ended;

  SentRequest(String upstream, double prefillMillis, long sentMillis) {
    this.upstream = upstream;
    this.prefillMillis = prefillMillis;
    this.sentMillis = sentMillis;
  }

  /** Returns the upstream that the request was sent to. */
  public String upstream() {
    return upstream;
  }

  boolean awaitsFirstToken() {
    return firstTokenMillis < 0 && !ended;
  }
}
