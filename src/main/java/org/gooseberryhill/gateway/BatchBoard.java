package org.gooseberryhill.gateway;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import org.gooseberryhill.decision.requestbatch.OwnedBatch;
import org.gooseberryhill.host.HostId;

/**
 * The batches that this host owns, who waits for their results, and who owns others. For the control thread.
 *
 * <p>Invariant: a batch stands here once from its adding to its dropping. A second copy would list again what the first one
 * has committed.
 */
final class BatchBoard {
    /** Callers read results twice a second until they have all; each has some kilobytes, and a host owns many batches a day. */
    private static final long FREE_AFTER_NANOS = TimeUnit.SECONDS.toNanos(60);

    private final Map<String, OwnedBatch> owned = new LinkedHashMap<>();
    private final Map<String, List<Runnable>> waiters = new HashMap<>();
    private final Map<String, HostId> owners = new HashMap<>();
    private final Map<String, Long> finishedSinceNanos = new HashMap<>();

    /** Adds a batch that this host owns from now on; false if it has it already. */
    boolean add(OwnedBatch batch) {
        if (owned.putIfAbsent(batch.id(), batch) != null) {
            return false;
        }
        owners.remove(batch.id());
        return true;
    }

    /** Another process owns the batch now. */
    void drop(String id) {
        owned.remove(id);
        wake(id);
    }

    Optional<OwnedBatch> find(String id) {
        return Optional.ofNullable(owned.get(id));
    }

    /** Whether this host owns the batch by a write of its record that is later than a revision. */
    boolean hasWritten(String id, long revision) {
        return find(id).filter(batch -> batch.recordRevision() > revision).isPresent();
    }

    Collection<OwnedBatch> batches() {
        return List.copyOf(owned.values());
    }

    /** The owned batches that have something left to do. */
    Collection<OwnedBatch> openBatches() {
        return owned.values().stream().filter(batch -> !batch.isFinished()).toList();
    }

    /** Batches that have been finished for a while are read from the store, like those of other hosts. */
    void freeFinished(long nowNanos) {
        for (OwnedBatch batch : List.copyOf(owned.values())) {
            if (!batch.isFinished()) {
                finishedSinceNanos.remove(batch.id());
            } else if (nowNanos - finishedSinceNanos.computeIfAbsent(batch.id(), id -> nowNanos) >= FREE_AFTER_NANOS) {
                drop(batch.id());
            }
        }
    }

    /** Batches that there are no more have no owner. */
    void forgetAllBut(Set<String> known) {
        owners.keySet().retainAll(known);
        finishedSinceNanos.keySet().retainAll(owned.keySet());
    }

    void ownedBy(String id, HostId host) {
        if (!owned.containsKey(id)) {
            owners.put(id, host);
        }
    }

    Optional<HostId> owner(String id) {
        return Optional.ofNullable(owners.get(id));
    }

    /** Calls back once when results of the batch are committed, or it is ended or dropped. */
    void await(String id, Runnable waiter) {
        waiters.computeIfAbsent(id, key -> new ArrayList<>()).add(waiter);
    }

    /** Calls back all who wait for the batch. */
    void wake(String id) {
        List<Runnable> waiting = waiters.remove(id);
        if (waiting != null) {
            waiting.forEach(Runnable::run);
        }
    }
}
