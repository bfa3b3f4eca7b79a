package org.gooseberryhill.http;

/**
 * How an exchange uses its connection. Immutable.
 *
 * <p>Example: {@code ExchangeOptions.withSilence(500).onFreshConnection()}.
 *
 * @param silenceMillis how long the other side may be silent before the exchange fails
 * @param connectMillis how long making a connection may take
 * @param maxIdleMillis the longest time that a kept connection may have been idle to be used; 0 for a new one always: a
 *     connection that has been idle for long may be closing just now, which leaves it open whether a request has run
 * @param unframedAccepted whether an answer without a length, which ends with its connection, counts as whole
 * @param answerCheck tells the request's own answer from another
 */
public record ExchangeOptions(
        int silenceMillis, int connectMillis, int maxIdleMillis, boolean unframedAccepted, AnswerCheck answerCheck) {
    /** A connection within a region is there in milliseconds; one lost packet costs a second. */
    public static final int DEFAULT_CONNECT_MILLIS = 1000;

    /** Kept connections of any age, framed answers only. */
    public static ExchangeOptions withSilence(int silenceMillis) {
        return new ExchangeOptions(silenceMillis, DEFAULT_CONNECT_MILLIS, Integer.MAX_VALUE, false, AnswerCheck.NONE);
    }

    /** The same on a new connection. */
    public ExchangeOptions onFreshConnection() {
        return new ExchangeOptions(silenceMillis, connectMillis, 0, unframedAccepted, answerCheck);
    }
}
