package org.gooseberryhill.metrics;

import io.prometheus.metrics.model.snapshots.MetricSnapshot;

/**
 * A metric that can tell its present values.
 *
 * <p>Nothing of the exposition library is loaded before the first reading: that takes some tens of milliseconds of a
 * process's start, during which callers of a host that starts again wait.
 */
interface MetricSource {
    /** The values now. */
    MetricSnapshot snapshot();
}
