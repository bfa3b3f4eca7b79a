package org.gooseberryhill.gateway;

import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.function.DoubleSupplier;
import org.gooseberryhill.account.Caller;
import org.gooseberryhill.decision.dispatch.AttemptEnd;
import org.gooseberryhill.decision.dispatch.OverloadFacts;
import org.gooseberryhill.decision.requestbatch.RunEnd;
import org.gooseberryhill.metrics.LabeledCounter;
import org.gooseberryhill.metrics.LabeledHistogram;
import org.gooseberryhill.metrics.MetricRegistry;

/** Metrics of one gateway; their names and labels are documented in docs/OPERATIONS.md. Thread-safe. */
final class GatewayMetrics {
    /**
     * Maximum number of distinct values of a label, since a configuration may grow by hundreds of routes, and endpoints
     * come and go.
     */
    private static final int MAX_LABEL_VALUES = 64;

    private static final String OTHER_LABEL = "other";
    private static final String NO_ACCOUNT_LABEL = "none";

    private final MetricRegistry metrics = new MetricRegistry();
    private final Set<String> routes = ConcurrentHashMap.newKeySet();
    private final Set<String> endpoints = ConcurrentHashMap.newKeySet();
    private final Set<String> accounts = ConcurrentHashMap.newKeySet();
    private final LabeledCounter requests =
            metrics.counter("gooseberry_routed_requests", "Routed requests by route and end", "route", "end");
    private final LabeledCounter attempts = metrics.counter(
            "gooseberry_routed_attempts", "Attempts at endpoints by endpoint and end", "endpoint", "end");
    private final LabeledHistogram latency = metrics.histogram(
            "gooseberry_routed_first_byte_seconds",
            "From a request's arrival to the first byte of its answer, by route",
            "route");
    private final LabeledHistogram attemptLatency =
            metrics.histogram("gooseberry_attempt_seconds", "How long attempts lasted, by endpoint", "endpoint");
    private final LabeledCounter items =
            metrics.counter("gooseberry_item_runs", "Runs of items of request batches by their end", "end");

    private final LabeledCounter refusedForLoad = metrics.counter(
            "gooseberry_refused_for_load",
            "Requests refused because of load by client account, and whether it was above its share",
            "account",
            "share");

    /** Returns all metrics for export. */
    MetricRegistry all() {
        return metrics;
    }

    /** Adds a gauge whose value is read when the metrics are read. */
    void gauge(String name, String help, DoubleSupplier value) {
        metrics.gauge(name, help, value);
    }

    void requestEnded(String route, String end) {
        requests.increment(boundedLabel(routes, route), end);
    }

    void firstByteSent(String route, double seconds) {
        latency.observe(seconds, boundedLabel(routes, route));
    }

    void attemptEnded(String endpoint, AttemptEnd end, double seconds) {
        String label = boundedLabel(endpoints, endpoint);
        attempts.increment(label, end.name());
        attemptLatency.observe(seconds, label);
    }

    /** Counts a refusal because of load; nothing is counted for a configuration without accounts. */
    void refusedForLoad(Caller caller, OverloadFacts facts) {
        if (caller.attributed()) {
            String account = caller.accountName().orElse(NO_ACCOUNT_LABEL);
            refusedForLoad.increment(
                    boundedLabel(accounts, account), facts.share().isPresent() ? "above" : "within");
        }
    }

    void itemRunEnded(RunEnd end) {
        items.increment(end.name());
    }

    private static String boundedLabel(Set<String> labelValues, String value) {
        if (labelValues.contains(value)) {
            return value;
        }
        if (labelValues.size() >= MAX_LABEL_VALUES) {
            return OTHER_LABEL;
        }
        labelValues.add(value);
        return value;
    }
}
