package org.gooseberryhill.steward;

import org.gooseberryhill.decision.batch.BatchSlotPolicy;
import org.gooseberryhill.decision.job.DispatchOrder;

/**
 * Settings of the steward program. Immutable.
 *
 * @param slotPolicy decides how many batch items an endpoint runs besides its online requests
 * @param dispatchOrder decides which job's items are handed out next
 * @param statusPeriodMillis the period at which each endpoint's status is read
 * @param endpointSilenceMillis the maximum time without a byte from an endpoint during an exchange
 * @param maxHandoutMillis the time after which a handed-out item without a report is reclaimed
 * @param jobScanPeriodMillis the period at which open jobs without an owner are searched for
 * @param maxOrderMillis the maximum duration of an order to an endpoint
 * @param maxLoads how many endpoints may load a model at once, since the weight store is rate-limited
 */
public record StewardSettings(
        BatchSlotPolicy slotPolicy,
        DispatchOrder dispatchOrder,
        long statusPeriodMillis,
        int endpointSilenceMillis,
        long maxHandoutMillis,
        long jobScanPeriodMillis,
        long maxOrderMillis,
        int maxLoads) {}
