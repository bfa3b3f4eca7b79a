package org.gooseberryhill.decision;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Random;

/**
 * An in-memory key-value store with injected faults, for tests of the decision core. The answer to a read or write may
 * be lost; a write whose answer is lost takes effect immediately, later or never.
 */
public final class FakeKeyValue<V> {
    private final Random random;
    private final int faultPercent;
    private final Map<String, Stored<V>> values = new HashMap<>();
    private final List<Runnable> delayed = new ArrayList<>();
    private long revision = 1;

    public FakeKeyValue(Random random, int faultPercent) {
        this.random = random;
        this.faultPercent = faultPercent;
    }

    /** Writes if all conditions hold and returns whether they did; empty if the answer is lost. */
    public Optional<Boolean> write(List<Condition> conditions, Map<String, V> writes) {
        int fault = random.nextInt(100) < faultPercent ? random.nextInt(3) : -1;
        return switch (fault) {
            case 0 -> Optional.empty();
            case 1 -> {
                apply(conditions, writes);
                yield Optional.empty();
            }
            case 2 -> {
                delayed.add(() -> apply(conditions, writes));
                yield Optional.empty();
            }
            default -> Optional.of(apply(conditions, writes));
        };
    }

    /** Reads a key; empty if the answer is lost. */
    public Optional<Optional<Stored<V>>> read(String key) {
        boolean lost = random.nextInt(100) < faultPercent;
        return lost ? Optional.empty() : Optional.of(peek(key));
    }

    /** Returns what the key holds, without faults. */
    public Optional<Stored<V>> peek(String key) {
        return Optional.ofNullable(values.get(key));
    }

    public void delete(String key) {
        revision++;
        values.remove(key);
    }

    /** Applies one delayed write, chosen at random. */
    public void applyDelayedWrite() {
        if (!delayed.isEmpty()) {
            delayed.remove(random.nextInt(delayed.size())).run();
        }
    }

    private boolean apply(List<Condition> conditions, Map<String, V> writes) {
        for (Condition condition : conditions) {
            Stored<V> stored = values.get(condition.key);
            long actual = stored == null ? 0 : condition.created ? stored.createRevision : stored.modRevision;
            if (actual != condition.revision) {
                return false;
            }
        }
        revision++;
        writes.forEach((key, value) -> {
            Stored<V> old = values.get(key);
            values.put(key, new Stored<>(value, old == null ? revision : old.createRevision, revision));
        });
        return true;
    }

    /** A value with the revisions of its creation and its last write. */
    public record Stored<V>(V value, long createRevision, long modRevision) {}

    /** A condition on the creation or modification revision of a key; revision 0 requires that the key is absent. */
    public record Condition(String key, boolean created, long revision) {
        public static Condition absent(String key) {
            return new Condition(key, true, 0);
        }

        public static Condition createdAt(String key, long revision) {
            return new Condition(key, true, revision);
        }

        public static Condition modifiedAt(String key, long revision) {
            return new Condition(key, false, revision);
        }
    }
}
