package org.goldcrestfall.daemon.metrics;

import io.prometheus.metrics.core.metrics.Counter;
import io.prometheus.metrics.core.metrics.GaugeWithCallback;
import io.prometheus.metrics.core.metrics.Histogram;
import io.prometheus.metrics.expositionformats.PrometheusTextFormatWriter;
import io.prometheus.metrics.instrumentation.jvm.JvmMetrics;
import io.prometheus.metrics.model.registry.PrometheusRegistry;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.util.function.DoubleSupplier;

/** The metrics of one daemon, in the Prometheus text format. All methods are thread-safe. */
public final class DaemonMetrics {

  private static final String PREFIX = "goldcrestfall_";

  private final PrometheusRegistry registry = new PrometheusRegistry();
  private final Counter requests = counter("requests", "Caller requests by result", "kind");
  private final Counter forwardedTokens = counter("tokens", "Tokens passed on to callers");
  private final Counter billedTokens =
      counter("billed_tokens", "Budget tokens settled", "workspace");
  private final Counter refusals =
      counter("refusals", "Refusals by kind and class", "kind", "class");
  private final Counter retries = counter("retries", "Attempts after the first", "reason");
  private final Counter resumedStreams =
      counter("streams_resumed", "Streams continued on another engine");
  private final Counter droppedPeerMessages =
      counter("peer_dropped", "Peer messages dropped", "reason");
  private final Counter peerSentBytes = counter("peer_sent_bytes", "Bytes sent to other daemons");
  private final Counter peerReceivedBytes =
      counter("peer_received_bytes", "Bytes received from other daemons");
  private final Counter usageOverruns =
      counter("usage_above_reservation", "Usage reports above the reserved tokens");
  private final Histogram timeToFirstToken =
      Histogram.builder()
          .name(PREFIX + "first_token_seconds")
          .help("Time to the first token by patience class")
          .labelNames("class")
          .classicOnly()
          .classicUpperBounds(0.01, 0.03, 0.1, 0.3, 0.89, 2, 5, 15, 60, 120)
          .register(registry);

  /** Creates the metrics, and registers those of the JVM. */
  public DaemonMetrics() {
    JvmMetrics.builder().register(registry);
  }

  private Counter counter(String name, String help, String... labels) {
    return Counter.builder().name(PREFIX + name).help(help).labelNames(labels).register(registry);
  }

  /** Registers a gauge whose value is read at each scrape. */
  public void registerGauge(String name, String help, DoubleSupplier value) {
    GaugeWithCallback.builder()
        .name(PREFIX + name)
        .help(help)
        .callback(c -> c.call(value.getAsDouble()))
        .register(registry);
  }

  /** Counts a finished request; {@code kind} is {@code ok} or an error code. */
  public void countRequest(String kind) {
    requests.labelValues(kind).inc();
  }

  /** Counts a refused request by error code and patience class. */
  public void countRefusal(String kind, String patienceClass) {
    refusals.labelValues(kind, patienceClass).inc();
  }

  /** Counts tokens forwarded to callers. */
  public void countForwardedTokens(long n) {
    forwardedTokens.inc(n);
  }

  /** Counts settled budget tokens. */
  public void countBilledTokens(String workspace, long n) {
    billedTokens.labelValues(workspace).inc(n);
  }

  /** Counts an attempt after the first. */
  public void countRetry(String reason) {
    retries.labelValues(reason).inc();
  }

  /** Counts a stream that continues on another engine. */
  public void countResumedStream() {
    resumedStreams.inc();
  }

  /** Counts a dropped peer message. */
  public void countDroppedPeerMessage(String reason) {
    droppedPeerMessages.labelValues(reason).inc();
  }

  /** Counts bytes sent to other daemons. */
  public void countSentPeerBytes(long bytes) {
    peerSentBytes.inc(bytes);
  }

  /** Counts bytes received from other daemons. */
  public void countReceivedPeerBytes(long bytes) {
    peerReceivedBytes.inc(bytes);
  }

  /** Counts a usage report of an upstream above the reserved tokens. */
  public void countUsageAboveReservation() {
    usageOverruns.inc();
  }

  /** Records the time to the first token. */
  public void recordTimeToFirstToken(String patienceClass, long millis) {
    timeToFirstToken.labelValues(patienceClass).observe(millis / 1000.0);
  }

  /** Returns all metrics in the Prometheus text format. */
  public byte[] scrape() {
    ByteArrayOutputStream out = new ByteArrayOutputStream();
    try {
      PrometheusTextFormatWriter.builder().build().write(out, registry.scrape());
    } catch (IOException e) {
      throw new UncheckedIOException(e);
    }
    return out.toByteArray();
  }
}
