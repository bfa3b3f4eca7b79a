package org.gooseberryhill.decision.idempotency;

import org.gooseberryhill.contract.Refusal;

/** The next step of a {@link Claim}. Immutable. */
public sealed interface ClaimStep {
    /** Create the record if the key is absent. */
    record Create() implements ClaimStep {}

    /** Read the record. */
    record Read() implements ClaimStep {}

    /** Send the call: the record belongs to it. */
    record Send() implements ClaimStep {}

    /**
     * Return the stored answer: the call has already run.
     *
     * @param record the record with the answer
     */
    record Replay(ClaimRecord record) implements ClaimStep {}

    /**
     * Refuse the call without sending it.
     *
     * @param refusal the final answer
     */
    record Refuse(Refusal refusal) implements ClaimStep {}
}
