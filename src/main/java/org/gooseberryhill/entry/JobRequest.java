package org.gooseberryhill.entry;

import org.gooseberryhill.contract.JobKey;

/**
 * What a submission says besides its items. Immutable.
 *
 * @param requestId names the request in logs
 * @param key the job's key
 * @param service the service that runs the items
 * @param model the model that the caller named
 * @param dueMillis when the job is due, in epoch milliseconds
 */
record JobRequest(String requestId, JobKey key, String service, String model, long dueMillis) {}
