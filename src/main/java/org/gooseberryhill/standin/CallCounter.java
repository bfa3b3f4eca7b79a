package org.gooseberryhill.standin;

import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.LongAdder;

/** Counts calls by kind. Thread-safe. */
public final class CallCounter {
    private final Map<String, LongAdder> counts = new ConcurrentHashMap<>();

    /** Counts one call. */
    public void count(String kind) {
        counts.computeIfAbsent(kind, key -> new LongAdder()).increment();
    }

    /** Returns the number of calls so far by kind, sorted by kind. */
    public Map<String, Long> snapshot() {
        Map<String, Long> snapshot = new TreeMap<>();
        counts.forEach((kind, count) -> snapshot.put(kind, count.sum()));
        return snapshot;
    }
}
