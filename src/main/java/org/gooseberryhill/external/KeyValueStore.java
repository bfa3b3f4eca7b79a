package org.gooseberryhill.external;

import java.io.Closeable;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;

/**
 * The operations of the platform's key-value store that the system uses. Thread-safe.
 *
 * <p>Failed futures complete with {@link ExternalServiceException}. A failed write may have taken effect: only its
 * response may have been lost.
 */
public interface KeyValueStore extends Closeable {
    /** Returns the number of calls made so far; a watch counts as one. */
    long callCount();

    /** Reads one key. */
    CompletableFuture<ReadResult> read(String key);

    /**
     * Lists all keys that begin with a prefix.
     *
     * @param mayBeStale whether the result may be seconds old, which costs the key-value store less
     */
    CompletableFuture<Listing> list(String prefix, boolean mayBeStale);

    /** Executes a transaction: checks its conditions and performs its writes atomically. */
    CompletableFuture<WriteResult> write(Transaction transaction);

    /** Grants a lease with a time to live in milliseconds and returns its id. */
    CompletableFuture<Long> grantLease(long ttlMillis);

    /** Renews a lease and returns its remaining time in milliseconds, 0 if it no longer exists. */
    CompletableFuture<Long> renewLease(long leaseId);

    /** Revokes a lease; the key-value store deletes the keys bound to it. */
    CompletableFuture<Void> revokeLease(long leaseId);

    /**
     * A listing of the keys that begin with a prefix.
     *
     * @param revision the listing's revision; every later change has a greater one
     * @param entries the keys in ascending order
     */
    record Listing(long revision, List<KeyChange> entries) {}

    /**
     * A key with its value.
     *
     * @param key the key
     * @param value the value
     * @param createRevision the revision that created the key
     * @param modRevision the revision that last wrote it
     */
    record Entry(String key, byte[] value, long createRevision, long modRevision) {}

    /**
     * The result of a read.
     *
     * @param revision the key-value store's revision at the time of the read
     * @param entries the entries found
     * @param more whether the limit truncated the result
     */
    record ReadResult(long revision, List<Entry> entries, boolean more) {
        /** Returns the first entry; empty if nothing was found. */
        public Optional<Entry> first() {
            return entries.stream().findFirst();
        }
    }

    /**
     * The result of a transaction.
     *
     * @param succeeded whether all conditions held and the writes took effect
     * @param revision the key-value store's revision after the transaction
     */
    record WriteResult(boolean succeeded, long revision) {}
}
