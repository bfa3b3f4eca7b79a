package org.gooseberryhill.view;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import org.gooseberryhill.external.KeyChange;

/**
 * A local view of the keys under one prefix. Not thread-safe.
 *
 * <p>Invariant: a revision of a key is replaced only by a newer one, regardless of the source and the order of the
 * updates, so the view never goes back. Otherwise a stale read or a delayed message from another host could restore an
 * endpoint that has left, and requests would be sent to it again.
 */
public final class KeyView {
    private final Map<String, KeyChange> entriesByKey = new TreeMap<>();
    /** Revisions at which keys were deleted, so that an older listing or write does not restore them. */
    private final Map<String, Long> deletionRevisions = new HashMap<>();

    private long revision;

    /** Returns the revision up to which this view contains all changes; 0 before the first listing. */
    public long revision() {
        return revision;
    }

    /** Returns the existing keys in ascending order. */
    public List<KeyChange> entries() {
        return List.copyOf(entriesByKey.values());
    }

    /** Returns a key's entry; empty if the key does not exist. */
    public Optional<KeyChange> find(String key) {
        return Optional.ofNullable(entriesByKey.get(key));
    }

    /**
     * Applies the changes between two revisions and returns those that changed the view. Returns empty and applies
     * nothing before the first listing, or if {@code fromRevision} is later than the revision of the view: the changes
     * in between are missing.
     */
    public Optional<List<KeyChange>> applyChanges(long fromRevision, long toRevision, List<KeyChange> changes) {
        if (revision == 0 || fromRevision > revision) {
            return Optional.empty();
        }
        List<KeyChange> effective = new ArrayList<>();
        for (KeyChange change : changes) {
            // The view already contains all changes up to its revision, including deletions. An older write must not
            // restore a deleted key.
            if (change.revision() > revision && apply(change)) {
                effective.add(change);
            }
        }
        revision = Math.max(revision, toRevision);
        return Optional.of(effective);
    }

    /**
     * Applies a listing of all keys as of a revision and returns what changed in the view. A key that is absent from
     * the listing is removed, unless it was written after the listing. Listings older than the revision of the view
     * are ignored.
     */
    public List<KeyChange> applyListing(long listedRevision, List<KeyChange> listing) {
        if (listedRevision < revision) {
            return List.of();
        }
        List<KeyChange> effective = new ArrayList<>();
        Map<String, KeyChange> listed = new HashMap<>();
        for (KeyChange entry : listing) {
            listed.put(entry.key(), entry);
            if (apply(entry)) {
                effective.add(entry);
            }
        }
        List<KeyChange> removed = entriesByKey.values().stream()
                .filter(entry -> !listed.containsKey(entry.key()) && entry.revision() <= listedRevision)
                .map(entry -> KeyChange.deleted(entry.key(), listedRevision))
                .toList();
        for (KeyChange deletion : removed) {
            apply(deletion);
            effective.add(deletion);
        }
        deletionRevisions.values().removeIf(deletionRevision -> deletionRevision < listedRevision);
        revision = listedRevision;
        return effective;
    }

    private boolean apply(KeyChange change) {
        KeyChange current = entriesByKey.get(change.key());
        long currentRevision = current != null ? current.revision() : deletionRevisions.getOrDefault(change.key(), 0L);
        if (change.revision() <= currentRevision) {
            return false;
        }
        if (change.value().isPresent()) {
            entriesByKey.put(change.key(), change);
            deletionRevisions.remove(change.key());
            return true;
        }
        entriesByKey.remove(change.key());
        deletionRevisions.put(change.key(), change.revision());
        return current != null;
    }
}
