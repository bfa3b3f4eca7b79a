package org.gooseberryhill.decision.idempotency;

import org.gooseberryhill.contract.Refusal;

/** What to do next about a claim. Immutable. */
public sealed interface ClaimStep {
    /** Create the record, if the key is absent. */
    record Create() implements ClaimStep {}

    /** Read the record. */
    record Read() implements ClaimStep {}

    /** The claim is this call's own: send the call now. */
    record Send() implements ClaimStep {}

    /**
     * The call has run: give its kept answer.
     *
     * @param record the record with the answer
     */
    record Replay(ClaimRecord record) implements ClaimStep {}

    /**
     * The call is not sent.
     *
     * @param refusal the final answer
     */
    record Refuse(Refusal refusal) implements ClaimStep {}
}
