package org.goldcrestfall.daemon.gateway;

import io.prometheus.metrics.core.metrics.Counter;
import io.prometheus.metrics.core.metrics.GaugeWithCallback;
import io.prometheus.metrics.core.metrics.Histogram;
import io.prometheus.metrics.expositionformats.PrometheusTextFormatWriter;
import io.prometheus.metrics.model.registry.PrometheusRegistry;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.util.Map;
import java.util.function.DoubleSupplier;
import java.util.function.Supplier;

/** The counters and histograms of the request path, in the Prometheus text format. */
public final class GatewayMetrics {

  private static final String PREFIX = "goldcrestfall_gateway_";

  private final PrometheusRegistry registry = new PrometheusRegistry();
  private final Counter finishedRequests =
      Counter.builder()
          .name(PREFIX + "requests")
          .help("Finished requests by route kind and outcome")
          .labelNames("kind", "outcome")
          .register(registry);
  private final Counter retries =
      Counter.builder()
          .name(PREFIX + "repeated_sends")
          .help("Sends after the first one of a request, by reason")
          .labelNames("reason")
          .register(registry);
  private final Counter warmupSends =
      Counter.builder()
          .name(PREFIX + "warmup_sends")
          .help("Requests chosen for upstreams that warm up, by what became of them")
          .labelNames("outcome")
          .register(registry);
  private final Histogram firstByteSeconds =
      Histogram.builder()
          .name(PREFIX + "first_byte_seconds")
          .help("Time to the first byte of an answer, by route kind")
          .labelNames("kind")
          .classicOnly()
          .classicUpperBounds(0.05, 0.1, 0.2, 0.4, 0.8, 1.6, 3.2, 6.4, 12.8)
          .register(registry);

  /** Counts a finished request by the kind of its route and its outcome. */
  void recordFinished(String kind, String outcome) {
    finishedRequests.labelValues(kind, outcome).inc();
  }

  /** Counts a retry by its reason. */
  void recordRetry(String reason) {
    retries.labelValues(reason).inc();
  }

  /** Counts a request for an upstream that warms up by its outcome, sent or held_back. */
  void recordWarmup(String outcome) {
    warmupSends.labelValues(outcome).inc();
  }

  /** Records the time to the first byte of a response. */
  void recordFirstByte(String kind, long millis) {
    firstByteSeconds.labelValues(kind).observe(millis / 1_000.0);
  }

  /** Registers a gauge whose value is read at each scrape. */
  public void gauge(String name, String help, DoubleSupplier value) {
    GaugeWithCallback.builder()
        .name(PREFIX + name)
        .help(help)
        .callback(c -> c.call(value.getAsDouble()))
        .register(registry);
  }

  /** Registers a gauge with a value for each value of a label, read at each scrape. */
  public void gauge(String name, String help, String label, Supplier<Map<String, Double>> values) {
    GaugeWithCallback.builder()
        .name(PREFIX + name)
        .help(help)
        .labelNames(label)
        .callback(c -> values.get().forEach((l, value) -> c.call(value, l)))
        .register(registry);
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
