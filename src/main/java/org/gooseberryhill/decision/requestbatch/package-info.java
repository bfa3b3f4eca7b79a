/** Request batches: acceptance of submissions, scheduling and placement of items, item results and their positions. */
package org.gooseberryhill.decision.requestbatch;
