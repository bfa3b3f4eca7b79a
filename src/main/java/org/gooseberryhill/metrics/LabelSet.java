package org.gooseberryhill.metrics;

import io.prometheus.metrics.model.snapshots.Labels;
import java.util.List;

/** The names of a metric's labels, and combinations of their values. Immutable. */
record LabelSet(List<String> names) {
    /** Labels as the exposition library has them. */
    Labels labels(List<String> values) {
        return Labels.of(names, values);
    }

    /** A combination of values; fails with {@link IllegalArgumentException} if it has not a value for each name. */
    List<String> values(String... values) {
        if (values.length != names.size()) {
            throw new IllegalArgumentException(values.length + " values for the labels " + names);
        }
        return List.of(values);
    }
}
