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
import org.gooseberryhill.decision.access.BatchAccess;
import org.gooseberryhill.decision.requestbatch.OwnedBatch;
import org.gooseberryhill.host.HostId;

/**
 * Registry of the batches that this host owns, of the callers that wait for their results, and of the owners of other
 * batches as far as this host has recorded them. Confined to the control thread.
 *
 * <p>Invariant: an owned batch has exactly one entry from {@link #add} to {@link #remove}. A second copy would commit
 * again the results that the first copy has already committed.
 */
final class BatchRegistry {
    /**
     * How long a finished batch stays in memory: long enough for its callers, which poll twice a second until they have
     * all results, but not longer, since a result takes several kilobytes and a host owns many batches a day.
     */
    private static final long EVICT_FINISHED_AFTER_NANOS = TimeUnit.SECONDS.toNanos(60);

    private final Map<String, OwnedBatch> owned = new LinkedHashMap<>();
    private final Map<String, List<Runnable>> waiters = new HashMap<>();
    private final Map<String, HostId> owners = new HashMap<>();
    private final Map<String, Long> finishedSinceNanos = new HashMap<>();

    /** Adds a batch that this host now owns; returns false if the batch already has an entry. */
    boolean add(OwnedBatch batch) {
        if (owned.putIfAbsent(batch.id(), batch) != null) {
            return false;
        }
        owners.remove(batch.id());
        return true;
    }

    /**
     * Removes a batch because this host no longer owns it, or because it is finished and need not stay in memory, and
     * notifies its waiters. Returns false, and changes nothing, if this copy of the batch has no entry: what concerns it does
     * not concern a later copy.
     */
    boolean remove(OwnedBatch batch) {
        boolean removed = owned.remove(batch.id(), batch);
        if (removed) {
            notifyWaiters(batch.id());
        }
        return removed;
    }

    /** Returns whether this copy of a batch, and not another one, has an entry. */
    boolean holds(OwnedBatch batch) {
        return owned.get(batch.id()) == batch;
    }

    Optional<OwnedBatch> find(String id) {
        return Optional.ofNullable(owned.get(id));
    }

    /** Returns a batch if this host owns it and the caller may see it. */
    Optional<OwnedBatch> find(String id, BatchAccess access) {
        return find(id).filter(batch -> access.isGranted(batch.record().account()));
    }

    /** Returns whether this host owns the batch and last wrote its record at a later revision than the given one. */
    boolean hasWrittenAfter(String id, long revision) {
        return find(id).filter(batch -> batch.recordRevision() > revision).isPresent();
    }

    Collection<OwnedBatch> batches() {
        return List.copyOf(owned.values());
    }

    /** Returns the owned batches that are not finished. */
    Collection<OwnedBatch> openBatches() {
        return owned.values().stream().filter(batch -> !batch.isFinished()).toList();
    }

    /**
     * Removes batches that have been finished for a while; from then on they are read from the store, like those of
     * other hosts.
     */
    void evictFinished(long nowNanos) {
        for (OwnedBatch batch : List.copyOf(owned.values())) {
            if (!batch.isFinished()) {
                finishedSinceNanos.remove(batch.id());
            } else if (nowNanos - finishedSinceNanos.computeIfAbsent(batch.id(), id -> nowNanos)
                    >= EVICT_FINISHED_AFTER_NANOS) {
                remove(batch);
            }
        }
    }

    /** Removes the owners of batches that no longer exist, and the finish times of batches that are no longer owned. */
    void retainExisting(Set<String> existingIds) {
        owners.keySet().retainAll(existingIds);
        finishedSinceNanos.keySet().retainAll(owned.keySet());
    }

    void setOwner(String id, HostId host) {
        if (!owned.containsKey(id)) {
            owners.put(id, host);
        }
    }

    Optional<HostId> owner(String id) {
        return Optional.ofNullable(owners.get(id));
    }

    /**
     * Registers a callback that runs once, when results of the batch are committed or the batch is ended or removed.
     */
    void addWaiter(String id, Runnable waiter) {
        waiters.computeIfAbsent(id, key -> new ArrayList<>()).add(waiter);
    }

    /** Runs and removes the callbacks that wait for the batch. */
    void notifyWaiters(String id) {
        List<Runnable> waiting = waiters.remove(id);
        if (waiting != null) {
            waiting.forEach(Runnable::run);
        }
    }
}
