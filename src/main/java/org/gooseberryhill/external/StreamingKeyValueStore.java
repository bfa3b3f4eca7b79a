package org.gooseberryhill.external;

import java.io.Closeable;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;

/** A key-value service that streams changes and reads parts of keys, as etcd does. Thread-safe. */
public interface StreamingKeyValueStore extends KeyValueStore {
    /** Reads only the revision that last wrote a key; 0 if it is absent. */
    CompletableFuture<Long> readRevision(String key);

    /** Reads up to a number of keys that begin with a prefix, in the order of the keys, from a key on. */
    CompletableFuture<ReadResult> readPrefix(String prefix, String fromKey, int limit);

    /** Watches the keys that begin with a prefix, from a revision on; closing ends the watch. */
    Closeable watch(String prefix, long fromRevision, WatchListener listener);

    /** Follows a watch; called by one traffic thread. */
    interface WatchListener {
        /** A key was written; empty value means deleted. */
        void onChange(String key, Optional<Entry> entry);

        /** The watch ended; a new one may be asked for. */
        void onEnd();
    }
}
