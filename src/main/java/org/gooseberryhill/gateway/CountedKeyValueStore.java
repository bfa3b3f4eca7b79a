package org.gooseberryhill.gateway;

import java.util.Map;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.function.Function;
import org.gooseberryhill.dialect.Dialects;
import org.gooseberryhill.external.ExternalServiceException;
import org.gooseberryhill.external.PollingKeyValueStore;
import org.gooseberryhill.external.Transaction;
import org.gooseberryhill.stored.StoredKeys;

/**
 * Counts the calls of another client of the key-value store by purpose and outcome. Thread-safe.
 *
 * <p>A listing of several pages counts once.
 */
final class CountedKeyValueStore implements PollingKeyValueStore {
    private final PollingKeyValueStore store;
    private final Map<String, StoreCallPurpose> purposesByPrefix;
    private final GatewayMetrics metrics;
    private final Optional<StoreCallPurpose> fixedPurpose;

    /**
     * Creates a store whose calls are counted by what they read or write.
     *
     * @param purposesByPrefix purposes of reads by the prefixes of their keys; other reads are for batches
     */
    CountedKeyValueStore(
            PollingKeyValueStore store, Map<String, StoreCallPurpose> purposesByPrefix, GatewayMetrics metrics) {
        this(store, purposesByPrefix, metrics, Optional.empty());
    }

    private CountedKeyValueStore(
            PollingKeyValueStore store,
            Map<String, StoreCallPurpose> purposesByPrefix,
            GatewayMetrics metrics,
            Optional<StoreCallPurpose> fixedPurpose) {
        this.store = store;
        this.purposesByPrefix = Map.copyOf(purposesByPrefix);
        this.metrics = metrics;
        this.fixedPurpose = fixedPurpose;
    }

    /** Creates a store whose calls are counted by what they read or write under the prefixes of a platform. */
    static CountedKeyValueStore create(PollingKeyValueStore store, Dialects dialects, GatewayMetrics metrics) {
        Map<String, StoreCallPurpose> purposes = Map.of(
                StoredKeys.HOSTS,
                StoreCallPurpose.HOST_LIST,
                dialects.directory().prefix(),
                StoreCallPurpose.DIRECTORY,
                dialects.operators().prefix(),
                StoreCallPurpose.CONFIGURATION);
        return new CountedKeyValueStore(store, purposes, metrics);
    }

    /** Returns a client whose calls all count as made for other hosts. */
    PollingKeyValueStore forOtherHosts() {
        return new CountedKeyValueStore(store, purposesByPrefix, metrics, Optional.of(StoreCallPurpose.RELAYED));
    }

    @Override
    public long callCount() {
        return store.callCount();
    }

    @Override
    public CompletableFuture<ReadResult> read(String key) {
        return counted(purposeOfRead(key), called -> called.read(key));
    }

    @Override
    public CompletableFuture<Listing> list(String prefix, boolean mayBeStale) {
        return counted(purposeOfRead(prefix), called -> called.list(prefix, mayBeStale));
    }

    @Override
    public CompletableFuture<Changes> changesAfter(String prefix, long revision, long waitMillis) {
        return counted(StoreCallPurpose.WATCH, called -> called.changesAfter(prefix, revision, waitMillis));
    }

    @Override
    public CompletableFuture<WriteResult> write(Transaction transaction) {
        StoreCallPurpose purpose = transaction.writes().stream()
                .findFirst()
                .map(write -> StoreCallPurpose.ofWrite(write.key()))
                .orElse(StoreCallPurpose.BATCH);
        return counted(purpose, called -> called.write(transaction));
    }

    @Override
    public CompletableFuture<Long> grantLease(long ttlMillis) {
        return counted(StoreCallPurpose.LEASE, called -> called.grantLease(ttlMillis));
    }

    @Override
    public CompletableFuture<Long> renewLease(long leaseId) {
        return counted(StoreCallPurpose.LEASE, called -> called.renewLease(leaseId));
    }

    @Override
    public CompletableFuture<Void> revokeLease(long leaseId) {
        return counted(StoreCallPurpose.LEASE, called -> called.revokeLease(leaseId));
    }

    @Override
    public void close() {
        // The client that was passed in belongs to the caller of the constructor.
    }

    private <T> CompletableFuture<T> counted(
            StoreCallPurpose purpose, Function<PollingKeyValueStore, CompletableFuture<T>> call) {
        return call.apply(store)
                .whenComplete((result, failure) -> metrics.storeCalled(fixedPurpose.orElse(purpose), outcome(failure)));
    }

    private StoreCallPurpose purposeOfRead(String key) {
        return purposesByPrefix.entrySet().stream()
                .filter(entry -> key.startsWith(entry.getKey()))
                .findFirst()
                .map(Map.Entry::getValue)
                .orElse(StoreCallPurpose.BATCH);
    }

    /** A lease or a history that is gone is an answer. */
    private static String outcome(Throwable failure) {
        if (failure == null) {
            return "answered";
        }
        return switch (ExternalServiceException.kindOf(failure)) {
            case NOT_DONE -> "not_done";
            case UNKNOWN -> "unknown";
            case REJECTED -> "rejected";
            default -> "answered";
        };
    }
}
