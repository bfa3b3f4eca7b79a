package org.gooseberryhill.metrics;

import io.prometheus.metrics.model.snapshots.ClassicHistogramBuckets;
import io.prometheus.metrics.model.snapshots.HistogramSnapshot;
import io.prometheus.metrics.model.snapshots.HistogramSnapshot.HistogramDataPointSnapshot;
import io.prometheus.metrics.model.snapshots.MetricSnapshot;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;

/** A histogram of durations with separate buckets for each combination of label values. Thread-safe. */
public final class LabeledHistogram implements MetricSource {
    private final String name;
    private final String help;
    private final LabelSet labels;
    private final Map<List<String>, DurationBuckets> buckets = new ConcurrentHashMap<>();

    LabeledHistogram(String name, String help, LabelSet labels) {
        this.name = name;
        this.help = help;
        this.labels = labels;
    }

    /** Records a duration in seconds for a combination of label values, one for each label. */
    public void observe(double seconds, String... labelValues) {
        buckets.computeIfAbsent(labels.checkedValues(labelValues), key -> new DurationBuckets())
                .observe(seconds);
    }

    @Override
    public MetricSnapshot snapshot() {
        HistogramSnapshot.Builder snapshot =
                HistogramSnapshot.builder().name(name).help(help);
        buckets.forEach((values, durations) -> snapshot.dataPoint(dataPoint(values, durations.snapshot())));
        return snapshot.build();
    }

    private HistogramDataPointSnapshot dataPoint(List<String> values, DurationBuckets.Snapshot snapshot) {
        ClassicHistogramBuckets.Builder classic = ClassicHistogramBuckets.builder();
        for (int i = 0; i < snapshot.counts().size(); i++) {
            classic.bucket(
                    DurationBuckets.upperBoundSeconds(i), snapshot.counts().get(i));
        }
        return HistogramDataPointSnapshot.builder()
                .labels(labels.toLabels(values))
                .classicHistogramBuckets(classic.build())
                .sum(snapshot.sumSeconds())
                .build();
    }
}
