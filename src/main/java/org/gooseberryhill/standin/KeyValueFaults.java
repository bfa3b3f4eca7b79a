package org.gooseberryhill.standin;

/**
 * Faults that the key-value stand-in simulates. Immutable.
 *
 * @param outage whether calls are aborted without an answer and without effect
 * @param serviceDelayMillis how long each call is delayed before it is executed
 * @param loseAnswers number of upcoming successful transactions whose answers are lost
 * @param cutAfterLost number of calls after each lost answer that are aborted without effect
 * @param staleReads whether reads omit the key changed by the latest write
 */
public record KeyValueFaults(
        boolean outage, long serviceDelayMillis, int loseAnswers, int cutAfterLost, boolean staleReads) {
    /** No faults. */
    public static final KeyValueFaults NONE = new KeyValueFaults(false, 0, 0, 0, false);
}
