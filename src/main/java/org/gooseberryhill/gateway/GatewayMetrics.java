package org.gooseberryhill.gateway;

import io.prometheus.metrics.core.metrics.Counter;
import io.prometheus.metrics.core.metrics.GaugeWithCallback;
import io.prometheus.metrics.core.metrics.Histogram;
import io.prometheus.metrics.model.registry.PrometheusRegistry;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.function.DoubleSupplier;
import org.gooseberryhill.decision.dispatch.AttemptEnd;
import org.gooseberryhill.decision.requestbatch.RunEnd;

/** The metrics of one gateway; names and labels are in docs/OPERATIONS.md. Thread-safe. */
final class GatewayMetrics {
    /** Values of a label that are told apart; a configuration may grow by hundreds of routes, and endpoints come and go. */
    private static final int MAX_LABEL_VALUES = 64;

    private static final String OTHER = "other";

    private final PrometheusRegistry registry = new PrometheusRegistry();
    private final Set<String> routes = ConcurrentHashMap.newKeySet();
    private final Set<String> endpoints = ConcurrentHashMap.newKeySet();
    private final Counter requests = Counter.builder()
            .name("gooseberry_routed_requests")
            .help("Routed requests by route and end")
            .labelNames("route", "end")
            .register(registry);
    private final Counter attempts = Counter.builder()
            .name("gooseberry_routed_attempts")
            .help("Attempts at endpoints by endpoint and end")
            .labelNames("endpoint", "end")
            .register(registry);
    private final Histogram latency = Histogram.builder()
            .name("gooseberry_routed_first_byte_seconds")
            .help("From a request's arrival to the first byte of its answer, by route")
            .labelNames("route")
            .register(registry);
    private final Histogram attemptLatency = Histogram.builder()
            .name("gooseberry_attempt_seconds")
            .help("How long attempts lasted, by endpoint")
            .labelNames("endpoint")
            .register(registry);
    private final Counter items = Counter.builder()
            .name("gooseberry_item_runs")
            .help("Runs of items of request batches by their end")
            .labelNames("end")
            .register(registry);

    PrometheusRegistry registry() {
        return registry;
    }

    /** Adds a value that is read when the metrics are. */
    void gauge(String name, String help, DoubleSupplier value) {
        GaugeWithCallback.builder()
                .name(name)
                .help(help)
                .callback(callback -> callback.call(value.getAsDouble()))
                .register(registry);
    }

    void requestEnded(String route, String end) {
        requests.labelValues(bounded(routes, route), end).inc();
    }

    void firstByte(String route, double seconds) {
        latency.labelValues(bounded(routes, route)).observe(seconds);
    }

    void attemptEnded(String endpoint, AttemptEnd end, double seconds) {
        String label = bounded(endpoints, endpoint);
        attempts.labelValues(label, end.name()).inc();
        attemptLatency.labelValues(label).observe(seconds);
    }

    void itemRunEnded(RunEnd end) {
        items.labelValues(end.name()).inc();
    }

    private static String bounded(Set<String> known, String value) {
        if (known.contains(value)) {
            return value;
        }
        if (known.size() >= MAX_LABEL_VALUES) {
            return OTHER;
        }
        known.add(value);
        return value;
    }
}
