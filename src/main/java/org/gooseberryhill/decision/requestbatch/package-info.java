/**
 * Request batches: acceptance of submissions, scheduling and placement of items, results of items and their positions
 * in the batch's list of results.
 */
package org.gooseberryhill.decision.requestbatch;
