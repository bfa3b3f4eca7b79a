package org.gooseberryhill.gateway;

import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import org.gooseberryhill.decision.access.BatchAccess;
import org.gooseberryhill.decision.requestbatch.BatchItem;
import org.gooseberryhill.decision.requestbatch.BatchPage;
import org.gooseberryhill.decision.requestbatch.BatchRecord;
import org.gooseberryhill.decision.requestbatch.ItemResult;
import org.gooseberryhill.stored.BatchStore;

/**
 * Reads batches from the key-value store if their owner can't be asked. Called on the control thread; the futures may
 * complete on other threads.
 *
 * <p>Committed results never change, so they are cached: callers poll twice a second, and each call to the store has a
 * cost.
 */
final class StoredBatchReader {
    /** Maximum number of batches whose results are cached; each takes some hundred kilobytes. */
    private static final int MAX_CACHED_BATCHES = 60;

    private final GatewayContext context;
    private final BatchStore store;
    private final Map<String, CachedResults> cache = new LinkedHashMap<>();

    StoredBatchReader(GatewayContext context, BatchStore store) {
        this.context = context;
        this.store = store;
    }

    /** Returns whether the results from a position of the batch's list of results on are served without a call to the store. */
    boolean isCached(String id, int firstPosition) {
        CachedResults cached = cache.get(id);
        return cached != null && (cached.record.isFinished() || cached.results.size() > firstPosition);
    }

    /**
     * Reads the committed results from a position of the batch's list of results on; empty if there is no such batch, or none
     * that the caller may see.
     */
    CompletableFuture<Optional<BatchPage>> readPage(String id, int firstPosition, BatchAccess access) {
        CachedResults cached = cache.get(id);
        if (cached != null && !access.isGranted(cached.record.account())) {
            return CompletableFuture.completedFuture(Optional.empty());
        }
        if (isCached(id, firstPosition)) {
            return CompletableFuture.completedFuture(Optional.of(cached.page(firstPosition)));
        }
        return store.readRecord(id).thenCompose(found -> {
            if (found.isEmpty() || !access.isGranted(found.get().record().account())) {
                return CompletableFuture.completedFuture(Optional.empty());
            }
            BatchRecord record = found.get().record();
            return store.readResults(id, record).thenApply(results -> {
                CachedResults fresh = new CachedResults(record, List.copyOf(results));
                context.loop().execute(() -> addToCache(id, fresh));
                return Optional.of(fresh.page(firstPosition));
            });
        });
    }

    /**
     * Reads the body of an item without a committed result; empty if there is no such item, none that the caller may see, or
     * its batch is ended.
     */
    CompletableFuture<Optional<byte[]>> readItemBody(String id, String itemId, BatchAccess access) {
        return store.readRecord(id).thenCompose(found -> {
            if (found.isEmpty()
                    || found.get().record().ended()
                    || !access.isGranted(found.get().record().account())) {
                return CompletableFuture.completedFuture(Optional.empty());
            }
            BatchRecord record = found.get().record();
            return store.readResults(id, record)
                    .thenCombine(
                            store.readItems(id, record),
                            (results, items) -> uncommittedItemBody(itemId, results, items));
        });
    }

    /** Drops the cached results of a batch that has changed. */
    void evict(String id) {
        cache.remove(id);
    }

    private void addToCache(String id, CachedResults fresh) {
        cache.remove(id);
        cache.put(id, fresh);
        if (cache.size() > MAX_CACHED_BATCHES) {
            cache.remove(cache.keySet().iterator().next());
        }
    }

    private static Optional<byte[]> uncommittedItemBody(
            String itemId, List<ItemResult> results, List<BatchItem> items) {
        boolean committed = results.stream().anyMatch(result -> result.id().equals(itemId));
        if (committed) {
            return Optional.empty();
        }
        return items.stream()
                .filter(item -> item.id().equals(itemId))
                .findFirst()
                .map(BatchItem::body);
    }

    /** The cached record and results of a batch. */
    private record CachedResults(BatchRecord record, List<ItemResult> results) {
        BatchPage page(int firstPosition) {
            return BatchPage.of(record.items(), firstPosition, results, BatchApiHandler.MAX_PAGE_BYTES);
        }
    }
}
