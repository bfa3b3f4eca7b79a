package org.gooseberryhill.entry;

import org.gooseberryhill.contract.JobKey;

/**
 * The parameters of a job submission, without its items. Immutable.
 *
 * @param requestId identifies the request in logs
 * @param key the job's key
 * @param service the service that runs the items
 * @param model the model that the caller named
 * @param dueMillis the job's due time, in epoch milliseconds
 */
record JobRequest(String requestId, JobKey key, String service, String model, long dueMillis) {}
