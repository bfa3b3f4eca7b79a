package org.gooseberryhill.metrics;

import io.prometheus.metrics.model.snapshots.CounterSnapshot;
import io.prometheus.metrics.model.snapshots.CounterSnapshot.CounterDataPointSnapshot;
import io.prometheus.metrics.model.snapshots.MetricSnapshot;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.LongAdder;

/** A counter with a separate count for each combination of label values. Thread-safe. */
public final class LabeledCounter implements MetricSource {
    private final String name;
    private final String help;
    private final LabelSet labels;
    private final Map<List<String>, LongAdder> counts = new ConcurrentHashMap<>();

    LabeledCounter(String name, String help, LabelSet labels) {
        this.name = name;
        this.help = help;
        this.labels = labels;
    }

    /** Increments the count for a combination of label values, one for each label. */
    public void increment(String... labelValues) {
        counts.computeIfAbsent(labels.checkedValues(labelValues), key -> new LongAdder())
                .increment();
    }

    @Override
    public MetricSnapshot snapshot() {
        CounterSnapshot.Builder snapshot = CounterSnapshot.builder().name(name).help(help);
        counts.forEach((values, count) -> snapshot.dataPoint(CounterDataPointSnapshot.builder()
                .labels(labels.toLabels(values))
                .value(count.sum())
                .build()));
        return snapshot.build();
    }
}
