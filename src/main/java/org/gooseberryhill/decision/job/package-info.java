/**
 * Batch jobs: their submission and records in the key-value store, their state on the owning host, the order in which
 * items run, and the completion of items. Jobs are owned by stewards, the hosts that run items on endpoints; the owner
 * of a job hands out its items to the stewards that ask for them.
 */
package org.gooseberryhill.decision.job;
