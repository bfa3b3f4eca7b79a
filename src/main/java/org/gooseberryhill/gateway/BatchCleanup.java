package org.gooseberryhill.gateway;

import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeSet;
import java.util.function.Function;
import java.util.stream.Collectors;
import org.gooseberryhill.decision.requestbatch.BatchExpiry;
import org.gooseberryhill.stored.BatchStore;
import org.gooseberryhill.timeline.EventKind;

/**
 * Deletes finished batches whose retention period is over, and frees the memory of finished batches. Confined to the
 * control thread.
 *
 * <p>Invariant: results are deleted before their record, so that an interrupted deletion is found and repeated.
 */
final class BatchCleanup {
    private final GatewayContext context;
    private final PeerLinks links;
    private final BatchRegistry registry;
    private final BatchStore store;
    private final BatchExpiry expiry;
    private final Set<String> deleting = new TreeSet<>();

    BatchCleanup(GatewayContext context, PeerLinks links, BatchRegistry registry, BatchStore store) {
        this.context = context;
        this.links = links;
        this.registry = registry;
        this.store = store;
        this.expiry = new BatchExpiry(context.settings().resultRetentionMillis());
    }

    /** Processes a complete listing of the batch records. */
    void onListed(List<BatchStore.StoredRecord> records) {
        Map<String, BatchStore.StoredRecord> finished = records.stream()
                .filter(found -> found.record().isFinished())
                .collect(Collectors.toMap(BatchStore.StoredRecord::id, Function.identity()));
        registry.evictFinished(context.nowNanos());
        registry.retainExisting(
                records.stream().map(BatchStore.StoredRecord::id).collect(Collectors.toSet()));
        for (String id : expiry.observe(finished.keySet(), context.nowNanos())) {
            if (links.isResponsibleFor("batch/" + id) && deleting.add(id)) {
                delete(finished.get(id));
            }
        }
    }

    private void delete(BatchStore.StoredRecord stored) {
        context.onLoop(store.delete(stored), (deleted, failure) -> {
            deleting.remove(stored.id());
            if (failure == null && deleted) {
                registry.find(stored.id()).ifPresent(registry::remove);
                context.timeline()
                        .event(EventKind.BATCH_DELETED)
                        .job(stored.id())
                        .with("items", stored.record().items())
                        .write();
            }
        });
    }
}
