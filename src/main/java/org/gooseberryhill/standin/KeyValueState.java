package org.gooseberryhill.standin;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeMap;
import java.util.function.LongSupplier;

/**
 * The state of a simulated key-value store: keys with their revisions, and leases. Not thread-safe; the stand-in guards
 * it with a lock.
 *
 * <p>Invariant: each non-empty list of changes that is applied increments the revision by one.
 */
public final class KeyValueState {
    private final LongSupplier nowNanos;
    private final TreeMap<String, Value> values = new TreeMap<>();
    private final Map<Long, Lease> leases = new HashMap<>();
    private final List<Event> history = new ArrayList<>();
    private long revision = 1;
    private long nextLeaseId = 1000;

    /** Creates an empty state; the clock, in nanoseconds, determines when leases expire. */
    public KeyValueState(LongSupplier nowNanos) {
        this.nowNanos = nowNanos;
    }

    /** Returns the revision of the latest write, or 1 if there was none. */
    public long revision() {
        return revision;
    }

    /** Returns the value of a key. */
    public Optional<Value> get(String key) {
        return Optional.ofNullable(values.get(key));
    }

    /** Returns the values of the keys from {@code from} to {@code end}, exclusive; an empty end selects {@code from} alone. */
    public Map<String, Value> range(String from, String end) {
        if (end.isEmpty()) {
            Value value = values.get(from);
            return value == null ? Map.of() : Map.of(from, value);
        }
        return from.compareTo(end) >= 0 ? Map.of() : new TreeMap<>(values.subMap(from, end));
    }

    /** Returns the events from a revision on, inclusive, for a watch that starts at a past revision. */
    public List<Event> eventsFrom(long fromRevision) {
        return history.stream().filter(event -> event.revision >= fromRevision).toList();
    }

    /** Applies changes in one revision and returns the resulting events. */
    public List<Event> apply(List<Change> changes) {
        if (changes.isEmpty()) {
            return List.of();
        }
        revision++;
        List<Event> events = new ArrayList<>();
        for (Change change : changes) {
            if (change.bytes.isPresent()) {
                events.add(put(change.key, change.bytes.get(), change.lease));
            } else if (values.containsKey(change.key)) {
                values.remove(change.key);
                events.add(new Event(revision, change.key, Optional.empty()));
            }
        }
        history.addAll(events);
        return events;
    }

    /** Returns the ids of the leases that have not ended. */
    public List<Long> leaseIds() {
        return List.copyOf(leases.keySet());
    }

    /** Returns whether a lease exists and has not ended. */
    public boolean hasLease(long id) {
        return leases.containsKey(id);
    }

    /** Grants a lease and returns its id. */
    public long grantLease(long ttlMillis) {
        long id = nextLeaseId++;
        leases.put(id, new Lease(ttlMillis, nowNanos.getAsLong()));
        return id;
    }

    /** Renews a lease and returns its time to live in milliseconds; 0 if the lease has ended. */
    public long renewLease(long id) {
        Lease lease = leases.get(id);
        if (lease == null) {
            return 0;
        }
        lease.renewedNanos = nowNanos.getAsLong();
        return lease.ttlMillis;
    }

    /** Ends a lease, deletes its keys and returns the resulting events. */
    public List<Event> endLease(long id) {
        Lease lease = leases.remove(id);
        if (lease == null) {
            return List.of();
        }
        List<Change> deletions = lease.keys.stream()
                .filter(key -> values.containsKey(key) && values.get(key).lease == id)
                .map(key -> new Change(key, Optional.empty(), 0))
                .toList();
        return apply(deletions);
    }

    /** Returns the ids of the leases whose time to live has passed, but which {@link #endLease} has not ended yet. */
    public List<Long> expiredLeases() {
        long now = nowNanos.getAsLong();
        return leases.entrySet().stream()
                .filter(entry -> now - entry.getValue().renewedNanos > entry.getValue().ttlMillis * 1_000_000L)
                .map(Map.Entry::getKey)
                .toList();
    }

    private Event put(String key, byte[] bytes, long leaseId) {
        Value old = values.get(key);
        long createRevision = old == null ? revision : old.createRevision;
        Value value = new Value(bytes, createRevision, revision, leaseId);
        values.put(key, value);
        Lease leaseOfKey = leases.get(leaseId);
        if (leaseOfKey != null) {
            leaseOfKey.keys.add(key);
        }
        return new Event(revision, key, Optional.of(value));
    }

    /** A value with its revisions and the id of its lease; 0 means no lease. */
    public record Value(byte[] bytes, long createRevision, long modRevision, long lease) {}

    /** A change to apply; absent bytes delete the key. */
    public record Change(String key, Optional<byte[]> bytes, long lease) {}

    /** An applied change; an absent value means that the key was deleted. */
    public record Event(long revision, String key, Optional<Value> value) {}

    /** A lease and the keys that were written under it. */
    private static final class Lease {
        private final long ttlMillis;
        private final Set<String> keys = new HashSet<>();
        private long renewedNanos;

        Lease(long ttlMillis, long renewedNanos) {
            this.ttlMillis = ttlMillis;
            this.renewedNanos = renewedNanos;
        }
    }
}
