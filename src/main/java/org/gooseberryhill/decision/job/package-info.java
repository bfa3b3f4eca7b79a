/**
 * Batch jobs: their submission and records in the key-value store, their state on the owning host, the order in which
 * items run, and the completion of items.
 */
package org.gooseberryhill.decision.job;
