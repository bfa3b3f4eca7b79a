package org.gooseberryhill.decision.lease;

import java.util.Optional;
import java.util.concurrent.TimeUnit;

/**
 * Tells whether this host may still act under its lease. Not thread-safe.
 *
 * <p>Guards against a host that is paused until its lease has expired and another host has taken over: when it resumes,
 * it would continue as if it still held the lease. Two measures prevent this. The validity period is counted on the
 * monotonic clock from before each renewal was <em>sent</em>, less a margin, so this host stops before the key-value
 * store expires the lease. And each action carries the fencing token of its claim, so it is refused once the claim is
 * gone.
 */
public final class LeaseGuard {
    private final long marginNanos;
    private Optional<Long> leaseId = Optional.empty();
    private long validUntilNanos;

    /**
     * Creates a guard without a lease.
     *
     * @param marginMillis how long before its expiry a lease stops being usable
     */
    public LeaseGuard(long marginMillis) {
        this.marginNanos = TimeUnit.MILLISECONDS.toNanos(marginMillis);
    }

    /**
     * Records that a lease was granted or renewed.
     *
     * @param sentNanos the time just before the request was sent
     */
    public void renewed(long id, long sentNanos, long ttlMillis) {
        long newValidUntilNanos = sentNanos + TimeUnit.MILLISECONDS.toNanos(ttlMillis) - marginNanos;
        boolean sameLease = leaseId.equals(Optional.of(id));
        // Answers may arrive out of order; an older one must not shorten the validity that a newer one granted.
        validUntilNanos = sameLease ? Math.max(validUntilNanos, newValidUntilNanos) : newValidUntilNanos;
        leaseId = Optional.of(id);
    }

    /** Records that the lease no longer exists, as reported by the key-value store. */
    public void lost() {
        leaseId = Optional.empty();
    }

    /** Returns the id of the lease if this host may act under it now. */
    public Optional<Long> usable(long nowNanos) {
        return leaseId.filter(id -> nowNanos - validUntilNanos < 0);
    }

    /** Returns the id of the lease that was granted, whether it is usable or not. */
    public Optional<Long> granted() {
        return leaseId;
    }
}
