package org.gooseberryhill.gateway;

import java.util.concurrent.TimeUnit;

/**
 * Whether this host's own calls reach the key-value store. Thread-safe.
 *
 * <p>Failure: the store turns some hosts away and serves the others; a host that goes on calling pays for each refusal and
 * gets nothing done. After a failed call the host asks others to call for it, and tries itself again after a while.
 */
final class StoreReach {
    /** Between own calls while the store turns this host away: each is priced, and the others help meanwhile. */
    private static final long PAUSE_NANOS = TimeUnit.MILLISECONDS.toNanos(1000);

    private volatile boolean direct = true;
    private volatile long failedNanos;

    /** Whether the latest own call was answered. */
    boolean isDirect() {
        return direct;
    }

    /** Whether an own call is worth its price now. */
    boolean mayTry() {
        return direct || System.nanoTime() - failedNanos >= PAUSE_NANOS;
    }

    /** An own call was answered; returns whether the one before was not. */
    boolean answered() {
        boolean regained = !direct;
        direct = true;
        return regained;
    }

    /** An own call was not answered; returns whether the one before was. */
    boolean failed() {
        boolean lost = direct;
        failedNanos = System.nanoTime();
        direct = false;
        return lost;
    }
}
