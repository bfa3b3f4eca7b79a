package org.gooseberryhill.decision.quota;

import java.util.concurrent.TimeUnit;

/**
 * A token bucket whose rate and capacity may change. Not thread-safe.
 *
 * <p>Invariant: in any time, no more tokens are taken than the capacity plus what the rate adds in that time.
 */
final class TokenBucket {
    private static final double NANOS_PER_SECOND = TimeUnit.SECONDS.toNanos(1);

    private double tokens;
    private double ratePerSecond;
    private double capacity;
    private long updatedNanos;

    /** Creates a bucket that is filled with the given number of tokens. */
    TokenBucket(double tokens, long nowNanos) {
        this.tokens = tokens;
        this.updatedNanos = nowNanos;
    }

    /** Changes the rate and the capacity from now on. Tokens beyond a smaller capacity are lost. */
    void resize(double newRatePerSecond, double newCapacity, long nowNanos) {
        refill(nowNanos);
        ratePerSecond = newRatePerSecond;
        capacity = newCapacity;
        tokens = Math.min(tokens, capacity);
    }

    /** Takes a token if there is one. */
    boolean take(long nowNanos) {
        if (!hasToken(nowNanos)) {
            return false;
        }
        tokens--;
        return true;
    }

    /** Removes tokens that were used elsewhere; the number of tokens may become negative. */
    void remove(int count, long nowNanos) {
        refill(nowNanos);
        tokens = Math.min(capacity, tokens - count);
    }

    /** Sets the number of tokens to what another bucket of the same rate and capacity has. */
    void set(double newTokens, long nowNanos) {
        refill(nowNanos);
        tokens = Math.min(capacity, newTokens);
    }

    /** Returns the number of tokens, which may be negative. */
    double tokens(long nowNanos) {
        refill(nowNanos);
        return tokens;
    }

    /** Returns whether there is a token. */
    boolean hasToken(long nowNanos) {
        return tokens(nowNanos) >= 1;
    }

    /** Returns a token that was not used. */
    void giveBack(long nowNanos) {
        refill(nowNanos);
        tokens = Math.min(capacity, tokens + 1);
    }

    /** Returns the time in nanoseconds until there is a token; the greatest value if there never will be. */
    long nanosUntilToken(long nowNanos) {
        if (hasToken(nowNanos)) {
            return 0;
        }
        return ratePerSecond > 0 ? (long) ((1 - tokens) / ratePerSecond * NANOS_PER_SECOND) : Long.MAX_VALUE;
    }

    /** Returns the time in nanoseconds in which one token is added; the rate must be above 0. */
    long nanosPerToken() {
        return (long) (NANOS_PER_SECOND / ratePerSecond);
    }

    private void refill(long nowNanos) {
        double added = ratePerSecond * Math.max(0, nowNanos - updatedNanos) / NANOS_PER_SECOND;
        tokens = Math.min(Math.max(capacity, tokens), tokens + added);
        updatedNanos = Math.max(updatedNanos, nowNanos);
    }
}
