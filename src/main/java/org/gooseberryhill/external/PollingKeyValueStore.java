package org.gooseberryhill.external;

import java.util.List;
import java.util.concurrent.CompletableFuture;

/** A key-value store whose changes are read by long polling; each poll counts as a call. Thread-safe. */
public interface PollingKeyValueStore extends KeyValueStore {
    /**
     * Reads the changes, after a revision, of keys that begin with a prefix. Completes as soon as there are changes, or
     * without any after {@code waitMillis}. Fails with {@link ExternalServiceException.Kind#HISTORY_GONE} if the
     * service no longer retains all of them.
     */
    CompletableFuture<Changes> changesAfter(String prefix, long revision, long waitMillis);

    /**
     * Changes of keys.
     *
     * @param revision the revision up to which the changes are complete
     * @param changes the changes in ascending order of their revisions
     */
    record Changes(long revision, List<KeyChange> changes) {}
}
