package org.gooseberryhill.entry;

import io.prometheus.metrics.core.metrics.Counter;
import io.prometheus.metrics.core.metrics.Gauge;
import io.prometheus.metrics.core.metrics.Histogram;
import io.prometheus.metrics.model.registry.PrometheusRegistry;

/** Holds the metrics of one entry process; docs/OPERATIONS.md lists names and labels. Thread-safe. */
final class EntryMetrics {
    private final PrometheusRegistry registry = new PrometheusRegistry();
    private final Counter requests = Counter.builder()
            .name("gooseberry_requests")
            .help("Online requests by their end")
            .labelNames("service", "end")
            .register(registry);
    private final Counter attempts = Counter.builder()
            .name("gooseberry_attempts")
            .help("Attempts at endpoints")
            .labelNames("endpoint")
            .register(registry);
    private final Histogram firstByteSeconds = Histogram.builder()
            .name("gooseberry_first_byte_seconds")
            .help("From the request's arrival to the first byte of its answer")
            .labelNames("service")
            .register(registry);
    private final Gauge inFlight = Gauge.builder()
            .name("gooseberry_requests_in_flight")
            .help("Online requests in progress")
            .register(registry);

    PrometheusRegistry registry() {
        return registry;
    }

    void requestStarted() {
        inFlight.inc();
    }

    void requestEnded(String service, String end) {
        inFlight.dec();
        requests.labelValues(service, end).inc();
    }

    void requestRefused(String service, String end) {
        requests.labelValues(service, end).inc();
    }

    void attemptStarted(String endpoint) {
        attempts.labelValues(endpoint).inc();
    }

    void firstByteReceived(String service, double seconds) {
        firstByteSeconds.labelValues(service).observe(seconds);
    }
}
