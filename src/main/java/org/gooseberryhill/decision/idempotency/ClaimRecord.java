package org.gooseberryhill.decision.idempotency;

import java.util.Map;

/**
 * The record stored in the key-value store under a caller's idempotency key. Immutable.
 *
 * @param claimId identifies the claim, so that its holder can find out whether its creation took effect
 * @param requestHash the hash of the request, to detect a different request under the same key
 * @param state the progress of the call
 * @param claimedMillis the time of the claim, in epoch milliseconds
 * @param status the HTTP status of the answer; 0 without an answer
 * @param headers the stored headers of the answer
 * @param body the body of the answer
 */
public record ClaimRecord(
        String claimId,
        String requestHash,
        State state,
        long claimedMillis,
        int status,
        Map<String, String> headers,
        byte[] body) {
    /** The progress of a call. */
    public enum State {
        /** The call may be running, or its holder was lost. */
        CLAIMED,
        /** The call has run, and the record holds its answer. */
        ANSWERED,
        /** The call may have run, but its answer is lost. */
        ANSWER_LOST
    }

    /** Creates the record of a new claim. */
    public static ClaimRecord claimed(String claimId, String requestHash, long claimedMillis) {
        return new ClaimRecord(claimId, requestHash, State.CLAIMED, claimedMillis, 0, Map.of(), new byte[0]);
    }

    /** Returns a copy of this record with the answer of the call. */
    public ClaimRecord answered(int newStatus, Map<String, String> newHeaders, byte[] newBody) {
        return new ClaimRecord(claimId, requestHash, State.ANSWERED, claimedMillis, newStatus, newHeaders, newBody);
    }

    /** Returns a copy of this record that marks the answer as lost. */
    public ClaimRecord answerLost() {
        return new ClaimRecord(claimId, requestHash, State.ANSWER_LOST, claimedMillis, 0, Map.of(), new byte[0]);
    }
}
