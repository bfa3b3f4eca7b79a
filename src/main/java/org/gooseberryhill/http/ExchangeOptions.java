package org.gooseberryhill.http;

/**
 * Connection options of an exchange. Immutable.
 *
 * <p>Example: {@code ExchangeOptions.withSilenceTimeout(500).onFreshConnection()}.
 *
 * @param silenceTimeoutMillis the exchange fails if no byte is received for this time
 * @param connectTimeoutMillis connect timeout
 * @param maxIdleMillis maximum time that a reused connection may have been idle; 0 always opens a new one. The peer may be
 *     closing a connection that has been idle for long, and then it is unknown whether a request sent on it has run
 * @param acceptsUnframed whether a response without a length, which ends with its connection, counts as complete
 * @param responseMatcher decides whether a response belongs to the request
 * @param readPeriodMillis period in which the body of a response is read; 0 reads it as it arrives. Each read costs a
 *     wake-up, which a body that nobody waits for is not worth
 */
public record ExchangeOptions(
        int silenceTimeoutMillis,
        int connectTimeoutMillis,
        int maxIdleMillis,
        boolean acceptsUnframed,
        ResponseMatcher responseMatcher,
        int readPeriodMillis) {
    /** Default connect timeout. Connecting within a region takes milliseconds; one lost packet adds a second. */
    public static final int DEFAULT_CONNECT_TIMEOUT_MILLIS = 1000;

    /** Returns options that reuse connections of any idle time and accept framed responses only. */
    public static ExchangeOptions withSilenceTimeout(int silenceMillis) {
        return new ExchangeOptions(
                silenceMillis, DEFAULT_CONNECT_TIMEOUT_MILLIS, Integer.MAX_VALUE, false, ResponseMatcher.NONE, 0);
    }

    /** Returns the same options with a new connection. */
    public ExchangeOptions onFreshConnection() {
        return new ExchangeOptions(
                silenceTimeoutMillis, connectTimeoutMillis, 0, acceptsUnframed, responseMatcher, readPeriodMillis);
    }
}
