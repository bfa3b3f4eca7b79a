package org.gooseberryhill.metrics;

import io.prometheus.metrics.expositionformats.PrometheusTextFormatWriter;
import io.prometheus.metrics.model.snapshots.MetricSnapshots;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.function.DoubleSupplier;

/**
 * The registry of the metrics of one process, exposed in the Prometheus text format. Thread-safe.
 *
 * <p>Example: {@code metrics.counter("requests", "Requests by route", "route").increment("summaries")}.
 */
public final class MetricRegistry {
    /** The media type of {@link #toPrometheusText}. */
    public static final String CONTENT_TYPE = PrometheusTextFormatWriter.CONTENT_TYPE;

    private final List<MetricSource> sources = new CopyOnWriteArrayList<>();

    /** Adds a counter; the suffix {@code _total} is appended to its name in the text. */
    public LabeledCounter counter(String name, String help, String... labelNames) {
        LabeledCounter counter = new LabeledCounter(name, help, new LabelSet(List.of(labelNames)));
        sources.add(counter);
        return counter;
    }

    /** Adds a histogram of durations in seconds. */
    public LabeledHistogram histogram(String name, String help, String... labelNames) {
        LabeledHistogram histogram = new LabeledHistogram(name, help, new LabelSet(List.of(labelNames)));
        sources.add(histogram);
        return histogram;
    }

    /** Adds a gauge whose value is computed when the metrics are read. */
    public void gauge(String name, String help, DoubleSupplier value) {
        sources.add(new CallbackGauge(name, help, value));
    }

    /** Returns the current values of all metrics in the Prometheus text format. */
    public byte[] toPrometheusText() {
        MetricSnapshots.Builder snapshots = MetricSnapshots.builder();
        sources.forEach(source -> snapshots.metricSnapshot(source.snapshot()));
        ByteArrayOutputStream text = new ByteArrayOutputStream();
        try {
            PrometheusTextFormatWriter.create().write(text, snapshots.build());
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
        return text.toByteArray();
    }
}
