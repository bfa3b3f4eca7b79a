package org.gooseberryhill.http;

/**
 * Connection options of an exchange. Immutable.
 *
 * <p>Example: {@code ExchangeOptions.withSilence(500).onFreshConnection()}.
 *
 * @param silenceMillis the exchange fails if no byte is received for this time
 * @param connectMillis connect timeout
 * @param maxIdleMillis maximum time that a reused connection may have been idle; 0 always opens a new one. The peer may be
 *     closing a connection that has been idle for long, and then it is unknown whether a request sent on it has run
 * @param unframedAccepted whether a response without a length, which ends with its connection, counts as complete
 * @param answerCheck decides whether a response belongs to the request
 */
public record ExchangeOptions(
        int silenceMillis, int connectMillis, int maxIdleMillis, boolean unframedAccepted, AnswerCheck answerCheck) {
    /** Connecting within a region takes milliseconds; one lost packet adds a second. */
    public static final int DEFAULT_CONNECT_MILLIS = 1000;

    /** Returns options that reuse connections of any idle time and accept framed responses only. */
    public static ExchangeOptions withSilence(int silenceMillis) {
        return new ExchangeOptions(silenceMillis, DEFAULT_CONNECT_MILLIS, Integer.MAX_VALUE, false, AnswerCheck.NONE);
    }

    /** Returns the same options with a new connection. */
    public ExchangeOptions onFreshConnection() {
        return new ExchangeOptions(silenceMillis, connectMillis, 0, unframedAccepted, answerCheck);
    }
}
