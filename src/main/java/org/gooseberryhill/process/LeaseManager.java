package org.gooseberryhill.process;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;
import org.gooseberryhill.decision.lease.LeaseGuard;
import org.gooseberryhill.timeline.EventKind;

/**
 * Obtains and renews this host's single lease in the key-value store. Confined to the control thread.
 *
 * <p>Claims are written under the lease that {@link #usableLease} returns; when the loss listeners run, the service has
 * deleted all of these claims.
 */
public final class LeaseManager {
    private static final Logger LOG = LogManager.getLogger(LeaseManager.class);
    private static final int RENEWALS_PER_LEASE = 3;
    private static final int SAFETY_MARGIN_DIVISOR = 5;

    private final HostProcess process;
    private final LeaseGuard guard;
    private final long leaseMillis;
    private final List<Runnable> lossListeners = new ArrayList<>();
    private boolean callPending;
    private boolean released;

    /** Creates an instance that holds no lease yet. */
    public LeaseManager(HostProcess process) {
        this.process = process;
        this.leaseMillis = process.settings().leaseMillis();
        this.guard = new LeaseGuard(leaseMillis / SAFETY_MARGIN_DIVISOR);
    }

    /** Requests the lease and renews it periodically. */
    public void start() {
        renew();
        process.loop().every(leaseMillis / RENEWALS_PER_LEASE, this::renew);
    }

    /** Adds a listener that is called when the lease, and with it all claims, is gone. */
    public void addLossListener(Runnable listener) {
        lossListeners.add(listener);
    }

    /** Returns the id of the lease, if this host may act under it now. */
    public Optional<Long> usableLease() {
        return guard.usable(process.loop().nowNanos());
    }

    /** Revokes the lease at a planned stop, so that others need not wait until it expires; then runs the action. */
    public void release(Runnable action) {
        released = true;
        Optional<Long> lease = guard.granted();
        guard.lost();
        if (lease.isEmpty()) {
            action.run();
            return;
        }
        process.keyValue()
                .revokeLease(lease.get())
                .whenComplete((done, failure) -> process.loop().execute(action));
    }

    private void renew() {
        if (callPending || released) {
            return;
        }
        callPending = true;
        long sentNanos = process.loop().nowNanos();
        Optional<Long> lease = guard.granted();
        if (lease.isEmpty()) {
            process.keyValue()
                    .grantLease(leaseMillis)
                    .whenComplete((id, failure) -> process.loop().execute(() -> {
                        callPending = false;
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
                .whenComplete((remainingMillis, failure) -> process.loop().execute(() -> {
                    callPending = false;
                    onRenewalAnswer(
                            lease.get(), sentNanos, failure == null ? Optional.of(remainingMillis) : Optional.empty());
                }));
    }

    private void onRenewalAnswer(long lease, long sentNanos, Optional<Long> remainingMillis) {
        if (remainingMillis.isEmpty() || released) {
            return;
        }
        if (remainingMillis.get() > 0) {
            guard.renewed(lease, sentNanos, remainingMillis.get());
            return;
        }
        LOG.warn("lease {} has expired or was revoked", lease);
        process.timeline().event(EventKind.LEASE_LOST).with("lease", lease).write();
        guard.lost();
        lossListeners.forEach(Runnable::run);
        renew();
    }
}
