package org.gooseberryhill.metrics;

import io.prometheus.metrics.model.snapshots.MetricSnapshot;

/**
 * A metric that can take a snapshot of its values.
 *
 * <p>The Prometheus library is not loaded before the first snapshot: loading takes some tens of milliseconds, which
 * would lengthen the start of a restarted host while its callers wait.
 */
interface MetricSource {
    /** Returns the current values. */
    MetricSnapshot snapshot();
}
