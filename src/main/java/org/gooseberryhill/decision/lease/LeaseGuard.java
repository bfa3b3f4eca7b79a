package org.gooseberryhill.decision.lease;

import java.util.Optional;
import java.util.concurrent.TimeUnit;

/**
 * Tells whether this host may still act under its lease. Not thread-safe.
 *
 * <p>Failure: a host is paused, its lease lapses, another takes over; on waking it would act as if nothing had
 * happened. Two things stop it: the time is counted on the monotonic clock from before each renewal was <em>sent</em>,
 * less a margin, so this host stops earlier than the key-value service forgets it; and what it does carries the fence
 * of its claim, which is refused once the claim is gone.
 */
public final class LeaseGuard {
    private final long marginNanos;
    private Optional<Long> leaseId = Optional.empty();
    private long validUntilNanos;

    /** A guard that stops this long before the lease ends, in milliseconds. */
    public LeaseGuard(long marginMillis) {
        this.marginNanos = TimeUnit.MILLISECONDS.toNanos(marginMillis);
    }

    /** A lease was granted or renewed; the time is that before the request was sent. */
    public void renewed(long id, long sentNanos, long ttlMillis) {
        long until = sentNanos + TimeUnit.MILLISECONDS.toNanos(ttlMillis) - marginNanos;
        boolean sameLease = leaseId.equals(Optional.of(id));
        // Answers can overtake each other; an older one must not shorten the time that a newer one gave.
        validUntilNanos = sameLease ? Math.max(validUntilNanos, until) : until;
        leaseId = Optional.of(id);
    }

    /** The key-value service said that the lease is gone. */
    public void lost() {
        leaseId = Optional.empty();
    }

    /** The lease, if this host may act under it now. */
    public Optional<Long> usable(long nowNanos) {
        return leaseId.filter(id -> nowNanos - validUntilNanos < 0);
    }

    /** The lease that was granted, usable or not. */
    public Optional<Long> granted() {
        return leaseId;
    }
}
