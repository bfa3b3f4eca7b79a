package org.gooseberryhill.standin;

/**
 * Faults of the key-value stand-in. Immutable.
 *
 * @param outage whether connections are cut without an answer and without effect
 * @param slowMillis how long each answer is held back
 * @param loseAnswers how many of the next writes take effect while their answer is lost
 * @param cutAfterLost how many calls after each lost answer are cut without effect
 * @param staleReads whether reads answer with the state before the latest write
 */
public record KeyValueFaults(boolean outage, long slowMillis, int loseAnswers, int cutAfterLost, boolean staleReads) {
    /** No fault. */
    public static final KeyValueFaults NONE = new KeyValueFaults(false, 0, 0, 0, false);
}
