package org.gooseberryhill.external;

import java.io.Closeable;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;

/**
 * A key-value store that streams changes and can read revisions alone and ranges of keys, such as etcd. Thread-safe.
 */
public interface StreamingKeyValueStore extends KeyValueStore {
    /** Reads the revision that last wrote a key, without its value; 0 if the key is absent. */
    CompletableFuture<Long> readRevision(String key);

    /** Reads at most {@code limit} keys that begin with a prefix, in ascending order from {@code fromKey} inclusive. */
    CompletableFuture<ReadResult> readPrefix(String prefix, String fromKey, int limit);

    /** Watches the keys that begin with a prefix, from a revision inclusive; closing the result ends the watch. */
    Closeable watch(String prefix, long fromRevision, WatchListener listener);

    /** Receives the events of a watch; called by one traffic thread. */
    interface WatchListener {
        /** Called when a key was written or deleted; the entry is empty if it was deleted. */
        void onChange(String key, Optional<Entry> entry);

        /** Called when the watch has ended; the caller may start a new one. */
        void onEnd();
    }
}
