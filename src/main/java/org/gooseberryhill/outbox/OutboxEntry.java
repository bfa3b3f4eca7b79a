package org.gooseberryhill.outbox;

import org.gooseberryhill.contract.Fingerprint;
import org.gooseberryhill.decision.requestbatch.BatchRecord;

/**
 * A submission stored on a host's disk. Immutable, provided that the array is not modified.
 *
 * @param batch the batch's id
 * @param record the record to create
 * @param body the batch's items as they were submitted
 * @param storedAtMillis when it was stored, in epoch milliseconds of this host's wall clock
 */
record OutboxEntry(String batch, BatchRecord record, byte[] body, long storedAtMillis) {
    /**
     * Returns the name of a submission, which identifies the batch, its body and the gateway process that accepted it.
     */
    static String nameOf(String batch, BatchRecord record) {
        String identity = String.join("\0", batch, record.bodyHash(), record.owner(), record.ownerStart());
        return Fingerprint.of(identity, new byte[0]).value();
    }

    String name() {
        return nameOf(batch, record);
    }
}
