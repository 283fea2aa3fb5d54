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
  private final Counter tokens = counter("tokens", "Tokens passed on to callers");
  private final Counter billed = counter("billed_tokens", "Budget tokens settled", "workspace");
  private final Counter refusals =
      counter("refusals", "Refusals by kind and class", "kind", "class");
  private final Counter retries = counter("retries", "Attempts after the first", "reason");
  private final Counter resumed = counter("streams_resumed", "Streams continued on another engine");
  private final Counter peerDrops = counter("peer_dropped", "Peer messages dropped", "reason");
  private final Counter peerSent = counter("peer_sent_bytes", "Bytes sent to other daemons");
  private final Counter peerReceived =
      counter("peer_received_bytes", "Bytes received from other daemons");
  private final Counter overruns =
      counter("usage_above_reservation", "Usage reports above the reserved tokens");
  private final Histogram firstToken =
      Histogram.builder()
          .name(PREFIX + "first_token_seconds")
          .help("Time to the first token by patience class")
          .labelNames("class")
          .classicOnly()
          .classicUpperBounds(0.01, 0.03, 0.1, 0.3, 0.89, 2, 5, 15, 60, 120)
          .register(registry);

  /** Creates the metrics with those of the JVM. */
  public DaemonMetrics() {
    JvmMetrics.builder().register(registry);
  }

  private Counter counter(String name, String help, String... labels) {
    return Counter.builder().name(PREFIX + name).help(help).labelNames(labels).register(registry);
  }

  /** Registers a gauge that is read when scraped. */
  public void gauge(String name, String help, DoubleSupplier value) {
    GaugeWithCallback.builder()
        .name(PREFIX + name)
        .help(help)
        .callback(c -> c.call(value.getAsDouble()))
        .register(registry);
  }

  /** Counts a finished request; {@code kind} is {@code ok} or an error code. */
  public void request(String kind) {
    requests.labelValues(kind).inc();
  }

  /** Counts a refusal. */
  public void refusal(String kind, String patienceClass) {
    refusals.labelValues(kind, patienceClass).inc();
  }

  /** Counts tokens passed on. */
  public void tokens(long n) {
    tokens.inc(n);
  }

  /** Counts settled budget tokens. */
  public void billed(String workspace, long n) {
    billed.labelValues(workspace).inc(n);
  }

  /** Counts a retry. */
  public void retry(String reason) {
    retries.labelValues(reason).inc();
  }

  /** Counts a stream that continues on another engine. */
  public void streamResumed() {
    resumed.inc();
  }

  /** Counts a dropped peer message. */
  public void peerDropped(String reason) {
    peerDrops.labelValues(reason).inc();
  }

  /** Counts bytes sent to other daemons. */
  public void peerSent(long bytes) {
    peerSent.inc(bytes);
  }

  /** Counts bytes received from other daemons. */
  public void peerReceived(long bytes) {
    peerReceived.inc(bytes);
  }

  /** Counts an upstream that reported more use than was reserved. */
  public void usageAboveReservation() {
    overruns.inc();
  }

  /** Observes the time to the first token. */
  public void firstToken(String patienceClass, long millis) {
    firstToken.labelValues(patienceClass).observe(millis / 1000.0);
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
