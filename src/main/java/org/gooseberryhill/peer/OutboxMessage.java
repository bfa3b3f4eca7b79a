package org.gooseberryhill.peer;

import org.gooseberryhill.decision.requestbatch.BatchRecord;

/** Messages between gateways and the hosts that hold submissions on disk until the key-value store has them. */
public interface OutboxMessage extends PeerMessage {
    /**
     * Asks a host to store a submission on its disk; the reply is {@link Stored}.
     *
     * @param batch the batch's id
     * @param record the record to create in the key-value store
     * @param body the batch's items as submitted
     */
    record Put(String batch, BatchRecord record, byte[] body) implements OutboxMessage {}

    /**
     * Tells whether a submission is on disk.
     *
     * @param stored false if the host is being evacuated or the write to its disk failed
     */
    record Stored(boolean stored) implements OutboxMessage {}

    /**
     * Asks a host to delete a submission, because the key-value store has it or its caller was told that it was not
     * accepted; the reply is {@link PeerMessage.Ack}.
     *
     * @param batch the batch's id
     * @param record the record that was to be created in the key-value store
     */
    record Drop(String batch, BatchRecord record) implements OutboxMessage {}

    /** Requests the number of submissions on a host, which accepts no more from now on; the reply is {@link State}. */
    record StateRequest() implements OutboxMessage {}

    /**
     * Returns the number of submissions that a host still holds.
     *
     * @param submissions the number of submissions that may be missing in the key-value store
     */
    record State(int submissions) implements OutboxMessage {}
}
