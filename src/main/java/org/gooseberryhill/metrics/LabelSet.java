package org.gooseberryhill.metrics;

import io.prometheus.metrics.model.snapshots.Labels;
import java.util.List;

/** The label names of a metric; checks and converts combinations of label values. Immutable. */
record LabelSet(List<String> names) {
    /** Converts a combination of values to the labels of the Prometheus library. */
    Labels toLabels(List<String> values) {
        return Labels.of(names, values);
    }

    /**
     * Returns the values as a list; throws {@link IllegalArgumentException} unless there is one value for each name.
     */
    List<String> checkedValues(String... values) {
        if (values.length != names.size()) {
            throw new IllegalArgumentException(values.length + " values for the labels " + names);
        }
        return List.of(values);
    }
}
