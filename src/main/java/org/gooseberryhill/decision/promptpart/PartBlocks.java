package org.gooseberryhill.decision.promptpart;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.stream.Collectors;
import org.gooseberryhill.decision.promptpart.PartBlock.DecidingCrash;

/**
 * The blocked parts of prompts as far as one host knows. Bounded in size. Not thread-safe.
 *
 * <p>Invariant: no block contains all parts of another one, which would be enough. A block that was read from the key-value store is
 * removed when it is missing there.
 */
final class PartBlocks {
    private static final int MAX_BLOCKS = 256;

    /** More crashes than decide on a block; with all blocks, the record stays below the size of a value. */
    private static final int MAX_RECORDED_CRASHES = 16;

    private final Map<Set<PromptPartKey>, PartBlock> blocks = new LinkedHashMap<>();
    private Set<Set<PromptPartKey>> recorded = Set.of();

    boolean isEmpty() {
        return blocks.isEmpty();
    }

    /** Returns the blocks that contain a part. */
    List<PartBlock> containing(PromptPartKey part) {
        return blocks.values().stream()
                .filter(block -> block.parts().contains(part))
                .toList();
    }

    /** Returns the blocks that contain a part at its version or at another one. */
    List<PartBlock> containingAtAnyVersion(PromptPartKey part) {
        return blocks.values().stream()
                .filter(block -> block.parts().stream().anyMatch(part::isSamePartAs))
                .toList();
    }

    /** Returns the blocks of the same version that share a part with a request. */
    List<PartBlock> touchedBy(Set<PromptPartKey> requestParts) {
        return blocks.values().stream()
                .filter(block -> block.parts().stream().anyMatch(requestParts::contains))
                .toList();
    }

    /** Returns the blocks at other versions of the service's software all of whose parts a request has. */
    List<PartBlock> atOtherVersions(Set<PromptPartKey> requestParts) {
        return blocks.values().stream()
                .filter(block -> block.parts().stream()
                        .allMatch(part -> requestParts.stream()
                                .anyMatch(other -> other.isSamePartAs(part) && !other.equals(part))))
                .toList();
    }

    /** Returns whether requests with the given parts are refused already. */
    boolean covers(Set<PromptPartKey> parts) {
        return blocks.values().stream().anyMatch(block -> block.blocks(parts));
    }

    void add(PartBlock block) {
        blocks.keySet().removeIf(parts -> parts.containsAll(block.parts()));
        blocks.put(block.parts(), block);
        if (blocks.size() > MAX_BLOCKS) {
            blocks.values().stream()
                    .filter(other -> other != block)
                    .min(Comparator.comparingLong(PartBlock::lastCrashNanos))
                    .ifPresent(oldest -> blocks.remove(oldest.parts()));
        }
    }

    /** Replaces a block by its later state; removes it if there is none. */
    void replace(PartBlock before, Optional<PartBlock> after) {
        blocks.remove(before.parts());
        after.ifPresent(this::add);
    }

    void removeExpired(long nowNanos) {
        blocks.values().removeIf(block -> block.isExpired(nowNanos));
    }

    /** Returns the blocked parts. */
    Collection<PartBlock> all() {
        return List.copyOf(blocks.values());
    }

    /** Returns whether the record in the key-value store lacks a block or a trial, or has one that does not hold any more. */
    boolean differFrom(QuarantineRecord record) {
        Map<Set<PromptPartKey>, Integer> trials = record.blocks().stream()
                .collect(Collectors.toMap(QuarantineRecord.Block::parts, QuarantineRecord.Block::trials, Math::max));
        return !trials.keySet().equals(blocks.keySet())
                || blocks.values().stream().anyMatch(block -> block.trials() > trials.get(block.parts()));
    }

    QuarantineRecord toRecord(long nowMillis, long nowNanos) {
        List<QuarantineRecord.Block> entries = new ArrayList<>();
        for (PartBlock block : blocks.values()) {
            List<QuarantineRecord.Crash> crashes = block.crashes().stream()
                    .limit(MAX_RECORDED_CRASHES)
                    .map(crash -> new QuarantineRecord.Crash(
                            crash.endpoint(), crash.reporter(), toMillis(crash.atNanos(), nowMillis, nowNanos)))
                    .toList();
            entries.add(new QuarantineRecord.Block(
                    block.parts(),
                    crashes,
                    toMillis(block.lastCrashNanos(), nowMillis, nowNanos),
                    block.beganUnserved(),
                    block.trials()));
        }
        return new QuarantineRecord(List.copyOf(entries));
    }

    /** Applies the record in the key-value store, and returns the blocks that were in an earlier one and are not any more. */
    List<PartBlock> restore(QuarantineRecord record, long nowMillis, long nowNanos) {
        Set<Set<PromptPartKey>> inRecord = new HashSet<>();
        for (QuarantineRecord.Block entry : record.blocks()) {
            inRecord.add(entry.parts());
            PartBlock block = fromRecord(entry, nowMillis, nowNanos);
            Optional<PartBlock> known = Optional.ofNullable(blocks.get(block.parts()));
            boolean newer = known.isEmpty() || known.get().trials() < block.trials();
            if (newer && (known.isPresent() || !covers(block.parts())) && !block.isExpired(nowNanos)) {
                add(block);
            }
        }
        List<PartBlock> removed = new ArrayList<>();
        for (Set<PromptPartKey> parts : recorded) {
            if (!inRecord.contains(parts)) {
                Optional.ofNullable(blocks.remove(parts)).ifPresent(removed::add);
            }
        }
        recorded = inRecord;
        return removed;
    }

    private static PartBlock fromRecord(QuarantineRecord.Block entry, long nowMillis, long nowNanos) {
        List<DecidingCrash> crashes = entry.crashes().stream()
                .map(crash -> new DecidingCrash(
                        crash.endpoint(), crash.reporter(), toNanos(crash.atMillis(), nowMillis, nowNanos)))
                .toList();
        return new PartBlock(
                entry.parts(),
                crashes,
                toNanos(entry.lastCrashMillis(), nowMillis, nowNanos),
                entry.beganUnserved(),
                entry.trials());
    }

    private static long toMillis(long nanos, long nowMillis, long nowNanos) {
        return nowMillis - TimeUnit.NANOSECONDS.toMillis(nowNanos - nanos);
    }

    /** A time of day in the future, by another host's clock, counts as now. */
    private static long toNanos(long millis, long nowMillis, long nowNanos) {
        return nowNanos - TimeUnit.MILLISECONDS.toNanos(Math.max(0, nowMillis - millis));
    }
}
