package org.gooseberryhill.process;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;
import org.gooseberryhill.decision.lease.LeaseGuard;
import org.gooseberryhill.timeline.EventKind;

/**
 * Keeps this host's one lease in the key-value service. Used by the control thread only.
 *
 * <p>Example: claims are written with {@code usable().get()}; after {@code onLost} all of them are gone.
 */
public final class LeaseKeeper {
    private static final Logger LOG = LogManager.getLogger(LeaseKeeper.class);
    private static final int RENEWALS_PER_LEASE = 3;
    private static final int MARGIN_DIVISOR = 5;

    private final HostProcess process;
    private final LeaseGuard guard;
    private final long leaseMillis;
    private final List<Runnable> lossListeners = new ArrayList<>();
    private boolean calling;
    private boolean released;

    /** A keeper that holds no lease yet. */
    public LeaseKeeper(HostProcess process) {
        this.process = process;
        this.leaseMillis = process.settings().leaseMillis();
        this.guard = new LeaseGuard(leaseMillis / MARGIN_DIVISOR);
    }

    /** Asks for the lease and renews it from now on. */
    public void start() {
        renew();
        process.loop().every(leaseMillis / RENEWALS_PER_LEASE, this::renew);
    }

    /** Calls back when the lease is gone, and with it all claims. */
    public void onLost(Runnable listener) {
        lossListeners.add(listener);
    }

    /** The lease, if this host may act under it now. */
    public Optional<Long> usable() {
        return guard.usable(process.loop().nowNanos());
    }

    /** Gives the lease back at a planned stop, so that others need not wait for its end; then runs the action. */
    public void release(Runnable then) {
        released = true;
        Optional<Long> lease = guard.granted();
        guard.lost();
        if (lease.isEmpty()) {
            then.run();
            return;
        }
        process.keyValue()
                .revokeLease(lease.get())
                .whenComplete((done, failure) -> process.loop().execute(then));
    }

    private void renew() {
        if (calling || released) {
            return;
        }
        calling = true;
        long sentNanos = process.loop().nowNanos();
        Optional<Long> lease = guard.granted();
        if (lease.isEmpty()) {
            process.keyValue()
                    .grantLease(leaseMillis)
                    .whenComplete((id, failure) -> process.loop().execute(() -> {
                        calling = false;
                        if (failure == null && !released) {
                            guard.renewed(id, sentNanos, leaseMillis);
                            process.timeline()
                                    .event(EventKind.LEASE_GRANTED)
                                    .with("lease", id)
                                    .write();
                        }
                    }));
            return;
        }
        process.keyValue()
                .renewLease(lease.get())
                .whenComplete((leftMillis, failure) -> process.loop().execute(() -> {
                    calling = false;
                    renewed(lease.get(), sentNanos, failure == null ? Optional.of(leftMillis) : Optional.empty());
                }));
    }

    private void renewed(long lease, long sentNanos, Optional<Long> leftMillis) {
        if (leftMillis.isEmpty() || released) {
            return;
        }
        if (leftMillis.get() > 0) {
            guard.renewed(lease, sentNanos, leftMillis.get());
            return;
        }
        LOG.warn("lease {} is gone", lease);
        process.timeline().event(EventKind.LEASE_LOST).with("lease", lease).write();
        guard.lost();
        lossListeners.forEach(Runnable::run);
        renew();
    }
}
