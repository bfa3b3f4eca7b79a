package org.gooseberryhill.external;

import java.io.Closeable;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;

/**
 * The platform's key-value service, as far as the system uses it. Thread-safe.
 *
 * <p>A future fails with {@link ExternalServiceException}. After that a write may have taken effect: its answer may be lost.
 */
public interface KeyValueStore extends Closeable {
    /** How many calls were made so far, a watch counted as one. */
    long calls();

    /** Reads one key. */
    CompletableFuture<ReadResult> read(String key);

    /**
     * Reads all keys that begin with a prefix.
     *
     * @param mayBeStale whether the answer may be seconds old, which costs the service less
     */
    CompletableFuture<Listing> list(String prefix, boolean mayBeStale);

    /** Compares and writes in one step. */
    CompletableFuture<WriteResult> write(Transaction transaction);

    /** Asks for a lease; the result is its id. */
    CompletableFuture<Long> grantLease(long ttlMillis);

    /** Renews a lease; the result is its remaining time in milliseconds, 0 if it is gone. */
    CompletableFuture<Long> renewLease(long leaseId);

    /** Gives a lease back; the keys under it are deleted. */
    CompletableFuture<Void> revokeLease(long leaseId);

    /**
     * The keys that begin with a prefix.
     *
     * @param revision every later change has a greater revision
     * @param entries the keys in their order
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
     * The answer to a read.
     *
     * @param revision the service's revision at the read
     * @param entries what was found
     * @param more whether the limit cut the result
     */
    record ReadResult(long revision, List<Entry> entries, boolean more) {
        /** The only entry, if there is one. */
        public Optional<Entry> first() {
            return entries.stream().findFirst();
        }
    }

    /**
     * The answer to a transaction.
     *
     * @param succeeded whether all conditions held and the writes took effect
     * @param revision the service's revision after it
     */
    record WriteResult(boolean succeeded, long revision) {}
}
