package org.gooseberryhill.metrics;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.concurrent.atomic.AtomicInteger;
import org.junit.jupiter.api.Test;

class MetricRegistryTest {
    private final MetricRegistry metrics = new MetricRegistry();

    @Test
    void aCounterShowsEachCombinationOfItsLabels() {
        LabeledCounter requests = metrics.counter("requests", "Requests", "route", "end");
        requests.increment("summaries", "answered");
        requests.increment("summaries", "answered");
        requests.increment("summaries", "overloaded");

        assertThat(lines())
                .contains(
                        "requests_total{end=\"answered\",route=\"summaries\"} 2.0",
                        "requests_total{end=\"overloaded\",route=\"summaries\"} 1.0");
    }

    @Test
    void aHistogramCountsADurationInEachBucketThatContainsIt() {
        LabeledHistogram latency = metrics.histogram("latency_seconds", "Latency", "route");
        latency.observe(0.02, "summaries");
        latency.observe(0.3, "summaries");
        latency.observe(60, "summaries");

        assertThat(lines())
                .contains(
                        "latency_seconds_bucket{route=\"summaries\",le=\"0.01\"} 0",
                        "latency_seconds_bucket{route=\"summaries\",le=\"0.025\"} 1",
                        "latency_seconds_bucket{route=\"summaries\",le=\"0.5\"} 2",
                        "latency_seconds_bucket{route=\"summaries\",le=\"10.0\"} 2",
                        "latency_seconds_bucket{route=\"summaries\",le=\"+Inf\"} 3",
                        "latency_seconds_count{route=\"summaries\"} 3",
                        "latency_seconds_sum{route=\"summaries\"} 60.32");
    }

    @Test
    void aGaugeIsEvaluatedAtEachReading() {
        AtomicInteger value = new AtomicInteger(3);
        metrics.gauge("open", "Open", value::get);
        assertThat(lines()).contains("open 3.0");

        value.set(4);

        assertThat(lines()).contains("open 4.0");
    }

    @Test
    void aMissingLabelValueIsAnError() {
        LabeledCounter requests = metrics.counter("requests", "Requests", "route", "end");

        assertThatThrownBy(() -> requests.increment("summaries")).isInstanceOf(IllegalArgumentException.class);
    }

    private List<String> lines() {
        return new String(metrics.toPrometheusText(), StandardCharsets.UTF_8)
                .lines()
                .toList();
    }
}
