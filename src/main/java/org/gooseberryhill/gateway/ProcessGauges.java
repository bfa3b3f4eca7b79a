package org.gooseberryhill.gateway;

import org.gooseberryhill.logging.StandardOutputSink;

/** Gauges of a gateway process: its work in progress, calls, log and control thread. Used once, at the start. */
final class ProcessGauges {
    private final GatewayContext context;
    private final StandardOutputSink log;

    ProcessGauges(GatewayContext context, StandardOutputSink log) {
        this.context = context;
        this.log = log;
    }

    /** Adds the gauges to the metrics of the process. */
    void add(BatchRunner runner, BatchHandOver handOver) {
        GatewayMetrics metrics = context.metrics();
        metrics.gauge("gooseberry_items_in_progress", "Items of request batches that run", runner::runningItems);
        metrics.gauge("gooseberry_batches_open", "Request batches that this host runs", handOver::openBatchCount);
        metrics.gauge(
                "gooseberry_store_calls",
                "Calls of the key-value store",
                () -> context.store().callCount());
        metrics.gauge("gooseberry_lines_dropped", "Log lines dropped by a full ring", log::droppedLines);
        metrics.gauge(
                "gooseberry_control_tasks_failed",
                "Tasks of the control thread that have thrown something",
                () -> context.loop().failedTasks());
    }
}
