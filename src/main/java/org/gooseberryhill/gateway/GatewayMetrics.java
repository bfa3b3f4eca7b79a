package org.gooseberryhill.gateway;

import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.function.DoubleSupplier;
import org.gooseberryhill.account.Caller;
import org.gooseberryhill.decision.dispatch.AttemptEnd;
import org.gooseberryhill.decision.dispatch.OverloadFacts;
import org.gooseberryhill.decision.dispatch.SpeedClass;
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
    private final LabeledCounter zones = metrics.counter(
            "gooseberry_zone_attempts",
            "Attempts by whether the endpoint is in the zone of this host, and who chose it",
            "zone",
            "chosen");
    private final LabeledCounter items =
            metrics.counter("gooseberry_item_runs", "Runs of items of request batches by their end", "end");

    private final LabeledCounter speedChanges = metrics.counter(
            "gooseberry_endpoint_speed_changes", "Endpoints that became slow, usual or fast, by new class", "to");
    private final LabeledCounter storeCalls = metrics.counter(
            "gooseberry_store_calls_by_purpose",
            "Calls to the key-value store by purpose and outcome",
            "purpose",
            "outcome");
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

    /** Counts an attempt by its zone, and by who chose its endpoint. */
    void attemptSent(boolean ownZone, EndpointChoice choice) {
        zones.increment(ownZone ? "own" : "other", choice.label());
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

    void endpointSpeedChanged(SpeedClass to) {
        speedChanges.increment(to.name());
    }

    void storeCalled(StoreCallPurpose purpose, String outcome) {
        storeCalls.increment(purpose.label(), outcome);
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
