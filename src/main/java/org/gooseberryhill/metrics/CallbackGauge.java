package org.gooseberryhill.metrics;

import io.prometheus.metrics.model.snapshots.GaugeSnapshot;
import io.prometheus.metrics.model.snapshots.GaugeSnapshot.GaugeDataPointSnapshot;
import io.prometheus.metrics.model.snapshots.MetricSnapshot;
import java.util.function.DoubleSupplier;

/** A gauge whose value is computed when the metrics are read. Thread-safe if its supplier is. */
final class CallbackGauge implements MetricSource {
    private final String name;
    private final String help;
    private final DoubleSupplier value;

    CallbackGauge(String name, String help, DoubleSupplier value) {
        this.name = name;
        this.help = help;
        this.value = value;
    }

    @Override
    public MetricSnapshot snapshot() {
        return GaugeSnapshot.builder()
                .name(name)
                .help(help)
                .dataPoint(GaugeDataPointSnapshot.builder()
                        .value(value.getAsDouble())
                        .build())
                .build();
    }
}
