package org.gooseberryhill.decision.promptpart;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import org.gooseberryhill.directory.EndpointKey;

/**
 * Records the crashes of endpoints by the parts of prompts that were in flight. Bounded in size. Not thread-safe.
 *
 * <p>Invariant: only endpoints that have crashed add entries, so that callers who make up new parts cannot evict any.
 */
final class CrashEvidence {
    private static final long RETENTION_NANOS = TimeUnit.MINUTES.toNanos(10);
    private static final int MAX_CRASHES = 256;
    private static final int MAX_PARTS = 20_000;

    private final Map<EndpointKey, RecordedCrash> crashes = new LinkedHashMap<>();
    private final Map<PromptPartKey, List<RecordedCrash>> byPart = new HashMap<>();

    boolean isEmpty() {
        return crashes.isEmpty();
    }

    /** Returns whether a part was in flight at a recorded crash. */
    boolean contains(PromptPartKey part) {
        return byPart.containsKey(part);
    }

    /** Records a crash, or what another host tells of one that is recorded. */
    RecordedCrash record(EndpointCrash crash, long nowNanos) {
        removeExpired(nowNanos);
        RecordedCrash recorded = crashes.computeIfAbsent(crash.endpoint(), key -> new RecordedCrash(crash));
        recorded.add(crash.atNanos(), crash.runs());
        for (CrashedRun run : crash.runs()) {
            for (PromptPartKey part : run.parts()) {
                List<RecordedCrash> ofPart = byPart.computeIfAbsent(part, key -> new ArrayList<>());
                if (!ofPart.contains(recorded)) {
                    ofPart.add(recorded);
                }
            }
        }
        while (crashes.size() > 1 && (crashes.size() > MAX_CRASHES || byPart.size() > MAX_PARTS)) {
            remove(crashes.values().iterator().next());
        }
        return recorded;
    }

    /** Returns all recorded crashes in the order in which this host has learned of them. */
    List<RecordedCrash> all() {
        return List.copyOf(crashes.values());
    }

    /**
     * Returns the crashes that count against a part, in order.
     *
     * @param servedNanos when the latest run with the part was sent that was answered, in nanoseconds; earlier crashes do not count
     */
    List<RecordedCrash> against(PromptPartKey part, Optional<Long> servedNanos) {
        return byPart.getOrDefault(part, List.of()).stream()
                .filter(crash -> crash.countsAgainst(part))
                .filter(crash -> servedNanos.isEmpty() || crash.atNanos() - servedNanos.get() > 0)
                .sorted(Comparator.comparingLong(RecordedCrash::atNanos))
                .toList();
    }

    /** Returns the number of crashes at a time, give or take a tolerance. */
    long crashesWithin(long atNanos, long toleranceNanos) {
        return crashes.values().stream()
                .filter(crash -> Math.abs(crash.atNanos() - atNanos) <= toleranceNanos)
                .count();
    }

    /** Returns whether an endpoint crashed at nearly the same time without a part in flight. */
    boolean hasCrashWithout(PromptPartKey part, long atNanos, long toleranceNanos) {
        return crashes.values().stream()
                .anyMatch(crash -> Math.abs(crash.atNanos() - atNanos) <= toleranceNanos && !crash.hasPart(part));
    }

    /** Returns the time of the latest crash at which a part was in flight, in nanoseconds. */
    Optional<Long> latestCrashNanos(PromptPartKey part) {
        return byPart.getOrDefault(part, List.of()).stream()
                .map(RecordedCrash::atNanos)
                .max(Comparator.naturalOrder());
    }

    void removeExpired(long nowNanos) {
        List<RecordedCrash> expired = crashes.values().stream()
                .filter(crash -> nowNanos - crash.atNanos() > RETENTION_NANOS)
                .toList();
        expired.forEach(this::remove);
    }

    private void remove(RecordedCrash crash) {
        crashes.remove(crash.endpoint());
        for (CrashedRun run : crash.runs()) {
            for (PromptPartKey part : run.parts()) {
                byPart.computeIfPresent(part, (key, ofPart) -> {
                    ofPart.remove(crash);
                    return ofPart.isEmpty() ? null : ofPart;
                });
            }
        }
    }
}
