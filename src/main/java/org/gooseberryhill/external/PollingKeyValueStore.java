package org.gooseberryhill.external;

import java.util.List;
import java.util.concurrent.CompletableFuture;

/** A key-value service that is asked for changes again and again, each question counted as a call. Thread-safe. */
public interface PollingKeyValueStore extends KeyValueStore {
    /**
     * The changes of keys that begin with a prefix after a revision: as soon as there are some, else none after the wait.
     * Fails with kind HISTORY_GONE when the service no longer keeps all of them.
     */
    CompletableFuture<Changes> changesAfter(String prefix, long revision, long waitMillis);

    /**
     * Changes of keys.
     *
     * @param revision up to which they are complete
     * @param changes in the order of their revisions
     */
    record Changes(long revision, List<KeyChange> changes) {}
}
