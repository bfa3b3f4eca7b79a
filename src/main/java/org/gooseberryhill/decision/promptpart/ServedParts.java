package org.gooseberryhill.decision.promptpart;

import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Optional;
import java.util.function.Predicate;

/**
 * Remembers which parts of prompts were answered lately: by this host, and by others as far as they have told. Bounded in size.
 * Not thread-safe.
 */
final class ServedParts {
    private static final int MAX_OWN = 4096;
    private static final float LOAD_FACTOR = 0.75f;

    private final Map<PromptPartKey, OwnAnswer> own = new LinkedHashMap<>(16, LOAD_FACTOR, true) {
        private static final long serialVersionUID = 1;

        @Override
        protected boolean removeEldestEntry(Map.Entry<PromptPartKey, OwnAnswer> eldest) {
            return size() > MAX_OWN;
        }
    };
    private final Map<PromptPartKey, Long> told = new HashMap<>();
    private long latestRunNanos;

    /**
     * Records that this host has delivered a whole answer.
     *
     * @param sentNanos when the run was sent that was answered, in nanoseconds
     */
    void recordOwn(PromptPartKey part, long sentNanos, long nowNanos) {
        latestRunNanos = nowNanos - sentNanos;
        own.merge(
                part,
                new OwnAnswer(sentNanos, latestRunNanos),
                (before, after) -> after.sentNanos - before.sentNanos > 0 ? after : before);
    }

    /** Returns how long runs with a part take by what this host has seen, in nanoseconds; 0 if it has seen none. */
    long runNanos(PromptPartKey part) {
        OwnAnswer answer = own.get(part);
        return answer == null ? latestRunNanos : answer.runNanos;
    }

    /** Records what all hosts know from now on. */
    void recordTold(PromptPartKey part, long sentNanos) {
        told.merge(part, sentNanos, ServedParts::later);
    }

    /** Returns when the latest run that this host has seen answered was sent, in nanoseconds. */
    Optional<Long> ownNanos(PromptPartKey part) {
        return Optional.ofNullable(own.get(part)).map(OwnAnswer::sentNanos);
    }

    /** Returns what hosts have told each other. */
    Optional<Long> toldNanos(PromptPartKey part) {
        return Optional.ofNullable(told.get(part));
    }

    /** Returns when the latest run that is known to have been answered was sent, in nanoseconds. */
    Optional<Long> latestNanos(PromptPartKey part) {
        Optional<Long> byThisHost = ownNanos(part);
        Optional<Long> byOthers = toldNanos(part);
        if (byThisHost.isPresent() && byOthers.isPresent()) {
            return Optional.of(later(byThisHost.get(), byOthers.get()));
        }
        return byThisHost.or(() -> byOthers);
    }

    /** Returns whether a run that was sent at some time, in nanoseconds, or later is known to have been answered. */
    boolean isServedSince(PromptPartKey part, long nanos) {
        return latestNanos(part).map(sent -> sent - nanos >= 0).orElse(false);
    }

    /** Forgets what was told of all parts but those that a condition holds for. */
    void retainTold(Predicate<PromptPartKey> condition) {
        told.keySet().removeIf(condition.negate());
    }

    private static long later(long first, long second) {
        return first - second > 0 ? first : second;
    }

    /** An answer that this host has delivered. */
    private record OwnAnswer(long sentNanos, long runNanos) {}
}
