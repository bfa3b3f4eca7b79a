package org.gooseberryhill.view;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import org.gooseberryhill.external.KeyChange;

/**
 * The keys under one prefix as last known. Not thread-safe.
 *
 * <p>Invariant: for each key only a newer revision replaces an older one, from whatever source and in whatever order
 * the news come; the view never goes back. Failure: a lagging read or a late message of another host shows an endpoint
 * that has left, and requests are sent to it again.
 */
public final class KeyView {
    private final Map<String, KeyChange> present = new TreeMap<>();
    private final Map<String, Long> deletedAt = new HashMap<>();
    private long revision;

    /** The revision up to which all changes are known; 0 before the first listing. */
    public long revision() {
        return revision;
    }

    /** The keys that exist, in their order. */
    public List<KeyChange> entries() {
        return List.copyOf(present.values());
    }

    /** A key that exists. */
    public Optional<KeyChange> find(String key) {
        return Optional.ofNullable(present.get(key));
    }

    /**
     * Takes in the changes between two revisions; returns those that are news. Changes that begin after what is known
     * are refused: what lies between is missing.
     */
    public Optional<List<KeyChange>> advance(long fromRevision, long toRevision, List<KeyChange> changes) {
        if (revision == 0 || fromRevision > revision) {
            return Optional.empty();
        }
        List<KeyChange> news = new ArrayList<>();
        for (KeyChange change : changes) {
            // All up to the known revision is known, deletions too: an earlier write must not bring a key back.
            if (change.revision() > revision && take(change)) {
                news.add(change);
            }
        }
        revision = Math.max(revision, toRevision);
        return Optional.of(news);
    }

    /**
     * Takes in a listing of all keys as of a revision; returns what is news. A key that the listing lacks is gone, unless
     * it was written after the listing.
     */
    public List<KeyChange> replace(long listedRevision, List<KeyChange> listing) {
        if (listedRevision < revision) {
            return List.of();
        }
        List<KeyChange> news = new ArrayList<>();
        Map<String, KeyChange> listed = new HashMap<>();
        for (KeyChange entry : listing) {
            listed.put(entry.key(), entry);
            if (take(entry)) {
                news.add(entry);
            }
        }
        List<KeyChange> missing = present.values().stream()
                .filter(entry -> !listed.containsKey(entry.key()) && entry.revision() <= listedRevision)
                .map(entry -> KeyChange.deleted(entry.key(), listedRevision))
                .toList();
        for (KeyChange gone : missing) {
            take(gone);
            news.add(gone);
        }
        deletedAt.values().removeIf(at -> at < listedRevision);
        revision = listedRevision;
        return news;
    }

    private boolean take(KeyChange change) {
        KeyChange known = present.get(change.key());
        long knownRevision = known != null ? known.revision() : deletedAt.getOrDefault(change.key(), 0L);
        if (change.revision() <= knownRevision) {
            return false;
        }
        if (change.value().isPresent()) {
            present.put(change.key(), change);
            deletedAt.remove(change.key());
            return true;
        }
        present.remove(change.key());
        deletedAt.put(change.key(), change.revision());
        return known != null;
    }
}
