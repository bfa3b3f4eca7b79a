package org.gooseberryhill.steward;

import org.gooseberryhill.decision.batch.BatchSlotPolicy;
import org.gooseberryhill.decision.job.DispatchOrder;

/**
 * Settings of the steward program. Immutable.
 *
 * @param slotPolicy how many batch items an endpoint runs beside its online requests
 * @param dispatchOrder which job's item runs next
 * @param statusPeriodMillis how often an endpoint's status is read
 * @param endpointSilenceMillis how long an endpoint may be silent inside an answer
 * @param maxHandoutMillis after which an item without a report waits again
 * @param jobScanPeriodMillis how often open jobs without an owner are looked for
 * @param longestOrderMillis how long an order to an endpoint may take
 * @param maxLoads how many endpoints may load a model at once: the weight store is rate-limited
 */
public record StewardSettings(
        BatchSlotPolicy slotPolicy,
        DispatchOrder dispatchOrder,
        long statusPeriodMillis,
        int endpointSilenceMillis,
        long maxHandoutMillis,
        long jobScanPeriodMillis,
        long longestOrderMillis,
        int maxLoads) {}
