package org.gooseberryhill.platform;

import java.io.Closeable;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;

/**
 * The platform's key-value service, as far as the system uses it. Thread-safe.
 *
 * <p>A future fails with {@link PlatformException}. After that a write may have taken effect: its answer may be lost.
 */
public interface KeyValueStore extends Closeable {
    /** Reads one key. */
    CompletableFuture<ReadResult> read(String key);

    /** Reads only the revision that last wrote a key; 0 if it is absent. */
    CompletableFuture<Long> readRevision(String key);

    /** Reads up to a number of keys that begin with a prefix, in the order of the keys, from a key on. */
    CompletableFuture<ReadResult> readPrefix(String prefix, String fromKey, int limit);

    /** Compares and writes in one step. */
    CompletableFuture<WriteResult> write(Transaction transaction);

    /** Asks for a lease; the result is its id. */
    CompletableFuture<Long> grantLease(long ttlMillis);

    /** Renews a lease; the result is its remaining time in milliseconds, 0 if it is gone. */
    CompletableFuture<Long> renewLease(long leaseId);

    /** Gives a lease back; the keys under it are deleted. */
    CompletableFuture<Void> revokeLease(long leaseId);

    /** Watches the keys that begin with a prefix, from a revision on; closing ends the watch. */
    Closeable watch(String prefix, long fromRevision, WatchListener listener);

    /** Follows a watch; called by one traffic thread. */
    interface WatchListener {
        /** A key was written; empty value means deleted. */
        void onChange(String key, Optional<Entry> entry);

        /** The watch ended; a new one may be asked for. */
        void onEnd();
    }

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
