package org.gooseberryhill.decision.idempotency;

import java.util.Map;

/**
 * What the key-value service holds under a caller's idempotency key. Immutable.
 *
 * @param claimId names the claim, so that its holder can find out whether it took effect
 * @param requestHash tells whether a resend is the same request
 * @param state how far the call got
 * @param claimedMillis when, in epoch milliseconds
 * @param status the answer's status, 0 before there is one
 * @param headers the answer's headers that are kept
 * @param body the answer's body
 */
public record ClaimRecord(
        String claimId,
        String requestHash,
        State state,
        long claimedMillis,
        int status,
        Map<String, String> headers,
        byte[] body) {
    /** How far a call got. */
    public enum State {
        /** It may be running, or its holder was lost. */
        CLAIMED,
        /** Its answer is kept. */
        ANSWERED,
        /** It may have run, and its answer is lost. */
        ANSWER_LOST
    }

    /** A new claim. */
    public static ClaimRecord claimed(String claimId, String requestHash, long claimedMillis) {
        return new ClaimRecord(claimId, requestHash, State.CLAIMED, claimedMillis, 0, Map.of(), new byte[0]);
    }

    /** The claim with its answer. */
    public ClaimRecord answered(int newStatus, Map<String, String> newHeaders, byte[] newBody) {
        return new ClaimRecord(claimId, requestHash, State.ANSWERED, claimedMillis, newStatus, newHeaders, newBody);
    }

    /** The claim of a call that may have run and whose answer is lost. */
    public ClaimRecord answerLost() {
        return new ClaimRecord(claimId, requestHash, State.ANSWER_LOST, claimedMillis, 0, Map.of(), new byte[0]);
    }
}
