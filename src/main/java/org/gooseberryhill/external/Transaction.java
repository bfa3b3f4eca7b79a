package org.gooseberryhill.external;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;

/**
 * Conditions and writes that take effect together or not at all. Immutable once built.
 *
 * <p>Example: {@code Transaction.builder().ifAbsent(key).put(key, value).build()}.
 *
 * @param conditions all must hold
 * @param writes then done in one step
 */
public record Transaction(List<Condition> conditions, List<Write> writes) {
    /** A builder without conditions and writes. */
    public static Builder builder() {
        return new Builder();
    }

    /** What a condition looks at. */
    public enum Target {
        /** The revision that created the key; 0 if it is absent. */
        CREATE,
        /** The revision that last wrote the key; 0 if it is absent. */
        MOD
    }

    /**
     * A revision of a key that must be as expected.
     *
     * @param key the key
     * @param target which revision
     * @param revision the expected one
     */
    public record Condition(String key, Target target, long revision) {}

    /**
     * A write of one key.
     *
     * @param key the key
     * @param value the value; empty to delete
     * @param leaseId the lease that the key lives under, if any
     */
    public record Write(String key, Optional<byte[]> value, Optional<Long> leaseId) {}

    /** Collects conditions and writes. Not thread-safe. */
    public static final class Builder {
        private final List<Condition> conditions = new ArrayList<>();
        private final List<Write> writes = new ArrayList<>();

        private Builder() {}

        /** The key must not exist. */
        public Builder ifAbsent(String key) {
            return ifCreatedAt(key, 0);
        }

        /** The key must have been created by this revision. */
        public Builder ifCreatedAt(String key, long revision) {
            conditions.add(new Condition(key, Target.CREATE, revision));
            return this;
        }

        /** The key must have been last written by this revision. */
        public Builder ifWrittenAt(String key, long revision) {
            conditions.add(new Condition(key, Target.MOD, revision));
            return this;
        }

        /** Writes a key. */
        public Builder put(String key, byte[] value) {
            writes.add(new Write(key, Optional.of(value), Optional.empty()));
            return this;
        }

        /** Writes a key that lives as long as a lease. */
        public Builder putUnderLease(String key, byte[] value, long leaseId) {
            writes.add(new Write(key, Optional.of(value), Optional.of(leaseId)));
            return this;
        }

        /** Deletes a key. */
        public Builder delete(String key) {
            writes.add(new Write(key, Optional.empty(), Optional.empty()));
            return this;
        }

        /** The transaction. */
        public Transaction build() {
            return new Transaction(List.copyOf(conditions), List.copyOf(writes));
        }
    }
}
