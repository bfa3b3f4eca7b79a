package org.gooseberryhill.decision.promptpart;

import java.util.Collection;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Optional;

/**
 * Remembers which parts of prompts were answered lately: by this host, and by others as far as they have told. Bounded in size.
 * Not thread-safe.
 */
final class ServedParts {
    private static final int MAX_OWN = 4096;
    private static final float LOAD_FACTOR = 0.75f;

    private final Map<PromptPartKey, Long> own = new LinkedHashMap<>(16, LOAD_FACTOR, true) {
        private static final long serialVersionUID = 1;

        @Override
        protected boolean removeEldestEntry(Map.Entry<PromptPartKey, Long> eldest) {
            return size() > MAX_OWN;
        }
    };
    private final Map<PromptPartKey, Long> told = new HashMap<>();

    /** Records that this host has delivered the whole answer of a run that was sent at the given time, in nanoseconds. */
    void recordOwn(PromptPartKey part, long sentNanos) {
        own.merge(part, sentNanos, ServedParts::later);
    }

    /** Records what all hosts know from now on. */
    void recordTold(PromptPartKey part, long sentNanos) {
        told.merge(part, sentNanos, ServedParts::later);
    }

    /** Returns when the latest run that this host has seen answered was sent, in nanoseconds. */
    Optional<Long> ownNanos(PromptPartKey part) {
        return Optional.ofNullable(own.get(part));
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

    /** Forgets what was told of all parts but the given ones. */
    void retainTold(Collection<PromptPartKey> parts) {
        told.keySet().retainAll(parts);
    }

    private static long later(long first, long second) {
        return first - second > 0 ? first : second;
    }
}
