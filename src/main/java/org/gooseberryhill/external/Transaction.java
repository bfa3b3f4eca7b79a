package org.gooseberryhill.external;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;

/**
 * A transaction: writes that take effect atomically if all conditions hold, else not at all. Immutable.
 *
 * <p>Example: {@code Transaction.builder().ifAbsent(key).put(key, value).build()}.
 *
 * @param conditions the conditions, all of which must hold
 * @param writes the writes, performed atomically
 */
public record Transaction(List<Condition> conditions, List<Write> writes) {
    /** Returns an empty builder. */
    public static Builder builder() {
        return new Builder();
    }

    /** The revision of a key that a condition compares. */
    public enum Target {
        /** The revision that created the key; 0 if it is absent. */
        CREATE,
        /** The revision that last wrote the key; 0 if it is absent. */
        MOD
    }

    /**
     * Requires a revision of a key to have the expected value.
     *
     * @param key the key
     * @param target the revision to compare
     * @param revision the expected revision
     */
    public record Condition(String key, Target target, long revision) {}

    /**
     * A write of one key.
     *
     * @param key the key
     * @param value the value; empty to delete
     * @param leaseId the lease that the key is bound to, if any
     */
    public record Write(String key, Optional<byte[]> value, Optional<Long> leaseId) {}

    /** Builds transactions. Not thread-safe. */
    public static final class Builder {
        private final List<Condition> conditions = new ArrayList<>();
        private final List<Write> writes = new ArrayList<>();

        private Builder() {}

        /** Requires that the key does not exist. */
        public Builder ifAbsent(String key) {
            return ifCreatedAt(key, 0);
        }

        /** Requires that the key was created by the revision. */
        public Builder ifCreatedAt(String key, long revision) {
            conditions.add(new Condition(key, Target.CREATE, revision));
            return this;
        }

        /** Requires that the key was last written by the revision; 0 if it must not exist. */
        public Builder ifRevisionIs(String key, long revision) {
            conditions.add(new Condition(key, Target.MOD, revision));
            return this;
        }

        /** Writes a key. */
        public Builder put(String key, byte[] value) {
            writes.add(new Write(key, Optional.of(value), Optional.empty()));
            return this;
        }

        /** Writes a key that is bound to a lease: the key-value store deletes it when the lease ends. */
        public Builder putUnderLease(String key, byte[] value, long leaseId) {
            writes.add(new Write(key, Optional.of(value), Optional.of(leaseId)));
            return this;
        }

        /** Deletes a key. */
        public Builder delete(String key) {
            writes.add(new Write(key, Optional.empty(), Optional.empty()));
            return this;
        }

        /** Returns the transaction. */
        public Transaction build() {
            return new Transaction(List.copyOf(conditions), List.copyOf(writes));
        }
    }
}
