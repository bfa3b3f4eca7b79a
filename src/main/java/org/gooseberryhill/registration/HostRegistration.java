package org.gooseberryhill.registration;

import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.function.BiConsumer;
import java.util.function.Supplier;
import org.gooseberryhill.control.ControlLoop;
import org.gooseberryhill.decision.membership.ListedHost;
import org.gooseberryhill.external.ExternalServiceException;
import org.gooseberryhill.external.KeyValueStore;
import org.gooseberryhill.external.Transaction;
import org.gooseberryhill.stored.StoredKeys;
import org.gooseberryhill.stored.StoredValueCodec;
import org.gooseberryhill.timeline.EventKind;
import org.gooseberryhill.timeline.Timeline;

/**
 * Registers this host in the list of live hosts: writes its key in the key-value store under a lease and renews the
 * lease. Confined to the control thread.
 *
 * <p>The key of a lost host disappears when its lease expires; a host whose lease expired during an outage of the store is
 * listed again with its next renewal.
 */
public final class HostRegistration {
    /**
     * Outlasts a lost renewal and its retry. The key of a lost host stays listed for this time; the hosts that watch it find
     * it lost sooner. A host whose lease expires although it is running is known to be alive by its reports, and requests a
     * new lease.
     */
    private static final long LEASE_MILLIS = 8000;

    private static final long RENEWAL_PERIOD_MILLIS = 3000;
    private static final long RETRY_DELAY_MILLIS = 500;

    private final ControlLoop loop;
    private final KeyValueStore store;
    private final Timeline timeline;
    private final Supplier<ListedHost> self;
    private Optional<Long> lease = Optional.empty();
    private boolean removalRequested;

    /**
     * Creates the registration of a host.
     *
     * @param self supplies the value of the key
     */
    public HostRegistration(ControlLoop loop, KeyValueStore store, Timeline timeline, Supplier<ListedHost> self) {
        this.loop = loop;
        this.store = store;
        this.timeline = timeline;
        this.self = self;
    }

    /** Requests a lease and writes the key under it; from then on, renews the lease periodically. */
    public void start() {
        grantLease();
    }

    /** Removes the key at a planned stop by revoking its lease, then runs the action. */
    public void remove(Runnable onRemoved) {
        removalRequested = true;
        if (lease.isEmpty()) {
            onRemoved.run();
            return;
        }
        onLoop(store.revokeLease(lease.get()), (done, failure) -> onRemoved.run());
    }

    private void grantLease() {
        if (removalRequested) {
            return;
        }
        onLoop(store.grantLease(LEASE_MILLIS), (id, failure) -> {
            if (failure != null) {
                retryLater(this::grantLease, failure);
                return;
            }
            lease = Optional.of(id);
            writeKey();
        });
    }

    private void writeKey() {
        if (removalRequested || lease.isEmpty()) {
            return;
        }
        ListedHost value = self.get();
        Transaction put = Transaction.builder()
                .putUnderLease(StoredKeys.host(value.host().id().value()), StoredValueCodec.write(value), lease.get())
                .build();
        onLoop(store.write(put), this::onWriteCompleted);
    }

    private void onWriteCompleted(KeyValueStore.WriteResult result, Throwable failure) {
        if (failure != null && isLeaseGone(failure)) {
            grantLease();
            return;
        }
        if (failure != null) {
            retryLater(this::writeKey, failure);
            return;
        }
        loop.after(RENEWAL_PERIOD_MILLIS, this::renewLease);
    }

    private void renewLease() {
        if (removalRequested || lease.isEmpty()) {
            return;
        }
        onLoop(store.renewLease(lease.get()), (leftMillis, failure) -> {
            if (failure != null && !isLeaseGone(failure)) {
                retryLater(this::renewLease, failure);
            } else if (failure != null || leftMillis <= 0) {
                timeline.event(EventKind.LEASE_LOST).with("lease", lease.get()).write();
                grantLease();
            } else {
                loop.after(RENEWAL_PERIOD_MILLIS, this::renewLease);
            }
        });
    }

    private void retryLater(Runnable action, Throwable failure) {
        timeline.event(EventKind.LEASE_UNANSWERED)
                .with("reason", String.valueOf(failure.getMessage()))
                .write();
        loop.after(RETRY_DELAY_MILLIS, action);
    }

    private <T> void onLoop(CompletableFuture<T> future, BiConsumer<T, Throwable> completion) {
        future.whenComplete((result, failure) -> loop.execute(() -> completion.accept(result, failure)));
    }

    private static boolean isLeaseGone(Throwable failure) {
        return ExternalServiceException.kindOf(failure) == ExternalServiceException.Kind.LEASE_GONE;
    }
}
