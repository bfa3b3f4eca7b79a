package org.gooseberryhill.decision.promptpart;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import org.gooseberryhill.contract.Prompt;
import org.gooseberryhill.decision.promptpart.PartBlock.DecidingCrash;
import org.gooseberryhill.decision.promptpart.PartVerdict.Kind;
import org.gooseberryhill.directory.ServiceVersion;

/**
 * Decides which parts of prompts crash the endpoints that run them, from what this host and others report. Not thread-safe.
 *
 * <p>Load pattern: requests that share one part of their prompts, and are different otherwise, come at all hosts and crash each
 * endpoint that begins an answer; sound requests share their other parts and are in flight beside them.
 *
 * <p>Invariants: an answer that was delivered clears the parts of its prompt of all crashes before its run was sent; a crash at which
 * a blocked part was in flight is no evidence against another one; crashes among requests that were sent before the first of them
 * count as one against a part that nobody has served, so that the loss of many endpoints at a time blocks none.
 */
public final class PromptPartQuarantine {
    /** Crashes, one after the other, that block a part which nobody is known to have served. */
    private static final int CRASHES_OF_UNSERVED_PART = 3;

    /** Crashes that confine a part which nobody is known to have served. */
    private static final int CRASHES_BEFORE_CONFINEMENT = 2;

    /** Crashes that block a part which was served before them. */
    private static final int CRASHES_OF_SERVED_PART = 5;

    /** Time in which an answer can still clear a part that was served before: longer than most answers take. */
    private static final long SERVED_PART_HOLD_NANOS = TimeUnit.SECONDS.toNanos(2);

    /** Tolerance of times that hosts tell each other. */
    private static final long TIME_TOLERANCE_NANOS = TimeUnit.MILLISECONDS.toNanos(20);

    private final CrashEvidence evidence = new CrashEvidence();
    private final ServedParts served = new ServedParts();
    private final PartBlocks blocks = new PartBlocks();
    private final Set<PromptPartKey> untold = new LinkedHashSet<>();

    /** Returns whether no part is suspected or blocked. */
    public boolean isIdle() {
        return evidence.isEmpty() && blocks.isEmpty();
    }

    /** Returns how a request must be treated at endpoints of a version. */
    public PartVerdict verdict(Prompt prompt, ServiceVersion version, long nowNanos) {
        if (isIdle()) {
            return PartVerdict.CLEAR;
        }
        Set<PromptPartKey> parts = CrashedRun.sharedParts(prompt, version);
        Set<PromptPartKey> suspects = new LinkedHashSet<>();
        Kind kind = Kind.CLEAR;
        for (PartBlock block : blocks.touchedBy(parts)) {
            if (block.blocks(parts) && !block.isTrialDue(nowNanos)) {
                return new PartVerdict(Kind.BLOCKED, block.parts(), block.retryAfterMillis(nowNanos));
            }
            kind = Kind.CONFINED;
            block.parts().stream().filter(parts::contains).forEach(suspects::add);
        }
        for (PartBlock block : blocks.atOtherVersions(parts)) {
            Set<PromptPartKey> here = block.at(version).parts();
            if (here.stream().noneMatch(part -> isServedSince(part, block.lastCrashNanos()))) {
                kind = Kind.CONFINED;
                suspects.addAll(here);
            }
        }
        for (PromptPartKey part : parts) {
            Standing standing = standing(part);
            if (!standing.crashes.isEmpty() && !standing.servedBefore) {
                suspects.add(part);
                kind = worse(kind, standing.sequential >= CRASHES_BEFORE_CONFINEMENT ? Kind.CONFINED : Kind.SUSPECT);
            }
        }
        return kind == Kind.CLEAR ? PartVerdict.CLEAR : new PartVerdict(kind, Set.copyOf(suspects), 0);
    }

    /** Records that a host has lost requests to the crash of an endpoint, and returns what is refused because of it. */
    public List<BlockChange> endpointCrashed(EndpointCrash crash, long nowNanos) {
        RecordedCrash recorded = evidence.record(crash, nowNanos);
        List<BlockChange> changes = new ArrayList<>();
        for (CrashedRun run : crash.runs()) {
            run.parts().stream()
                    .filter(part -> served.ownNanos(part).isPresent())
                    .forEach(untold::add);
            changes.addAll(explainByBlocks(recorded, run));
        }
        changes.addAll(blockCausesOf(recorded, nowNanos));
        return changes;
    }

    /** Returns what is refused from now on because it was not served for long enough; called periodically. */
    public List<BlockChange> reassess(long nowNanos) {
        if (isIdle()) {
            return List.of();
        }
        evidence.removeExpired(nowNanos);
        blocks.removeExpired(nowNanos);
        served.retainTold(evidence.parts());
        List<BlockChange> changes = new ArrayList<>();
        evidence.all().forEach(crash -> changes.addAll(blockCausesOf(crash, nowNanos)));
        return changes;
    }

    /**
     * Records that this host has delivered the whole answer to a request.
     *
     * @param version the version of the endpoint that sent it
     * @param sentNanos when the request was sent there, in nanoseconds
     */
    public List<BlockChange> answered(Prompt prompt, ServiceVersion version, long sentNanos) {
        List<BlockChange> changes = new ArrayList<>();
        for (PromptPartKey part : CrashedRun.sharedParts(prompt, version)) {
            served.recordOwn(part, sentNanos);
            if (!isIdle()) {
                changes.addAll(lift(part, sentNanos));
                untold.add(part);
            }
        }
        untold.removeIf(part -> !isWorthTelling(part));
        return changes;
    }

    /** Records what another host has told of served parts. */
    public List<BlockChange> servedElsewhere(List<ServedPart> parts) {
        List<BlockChange> changes = new ArrayList<>();
        for (ServedPart part : parts) {
            served.recordTold(part.part(), part.sentNanos());
            changes.addAll(lift(part.part(), part.sentNanos()));
        }
        return changes;
    }

    /** Returns whether this host has served a suspected or blocked part, and no host has told so yet. */
    public boolean hasUntoldServedParts() {
        untold.removeIf(part -> !isWorthTelling(part));
        return !untold.isEmpty();
    }

    /** Returns the served parts that the other hosts need to know, each only once. */
    public List<ServedPart> takeUntoldServedParts() {
        List<ServedPart> parts = new ArrayList<>();
        for (PromptPartKey part : untold) {
            if (isWorthTelling(part)) {
                long sentNanos = served.ownNanos(part).orElseThrow();
                parts.add(new ServedPart(part, sentNanos));
                served.recordTold(part, sentNanos);
            }
        }
        untold.clear();
        return parts;
    }

    /** Returns the number of blocks. */
    public int blockCount() {
        return blocks.all().size();
    }

    /** Returns whether the record in the key-value store is not what this host knows. */
    public boolean differsFrom(QuarantineRecord record) {
        return blocks.differFrom(record);
    }

    /** Returns the record for the key-value store. */
    public QuarantineRecord toRecord(long nowMillis, long nowNanos) {
        return blocks.toRecord(nowMillis, nowNanos);
    }

    /**
     * Applies the record in the key-value store. It may have been written by a host that has not heard of an answer, and a block may
     * be missing in it that this host has not heard to be lifted: then its parts count as served.
     */
    public List<BlockChange> restore(QuarantineRecord record, long nowMillis, long nowNanos) {
        List<BlockChange> changes = new ArrayList<>();
        for (PartBlock block : blocks.restore(record, nowMillis, nowNanos)) {
            block.parts().forEach(part -> served.recordTold(part, nowNanos));
            changes.add(new BlockChange(BlockChange.Kind.LIFTED, block));
        }
        for (PartBlock block : blocks.all()) {
            for (PromptPartKey part : block.parts()) {
                served.latestNanos(part).ifPresent(sentNanos -> changes.addAll(lift(part, sentNanos)));
            }
        }
        return changes;
    }

    /** Returns, for the other parts that were in flight at the crashes behind a block, why they are not blocked. */
    public Map<String, String> ruledOut(PartBlock block) {
        Map<String, String> reasons = new LinkedHashMap<>();
        for (RecordedCrash crash : evidence.all()) {
            boolean decided = block.crashes().stream()
                    .anyMatch(deciding ->
                            deciding.endpoint().equals(crash.endpoint().id()));
            if (!decided) {
                continue;
            }
            crash.runs().stream()
                    .flatMap(run -> run.parts().stream())
                    .filter(part -> !block.parts().contains(part))
                    .forEach(part -> reasons.putIfAbsent(part.part(), reasonAgainst(part)));
        }
        return reasons;
    }

    private String reasonAgainst(PromptPartKey part) {
        if (served.latestNanos(part).isPresent()) {
            return "served";
        }
        return "in flight at " + standing(part).sequential + " crashes one after the other";
    }

    private List<BlockChange> explainByBlocks(RecordedCrash recorded, CrashedRun run) {
        List<BlockChange> changes = new ArrayList<>();
        for (PartBlock block : blocks.touchedBy(run.parts())) {
            if (block.blocks(run.parts())) {
                recorded.explainBy(block.parts());
                PartBlock after = block.crashedAgain(recorded.atNanos(), run.sentNanos());
                blocks.replace(block, Optional.of(after));
                if (after.trials() > block.trials()) {
                    changes.add(new BlockChange(BlockChange.Kind.TRIAL_CRASHED, after));
                }
            }
        }
        if (blocks.covers(run.parts())) {
            return changes;
        }
        for (PartBlock block : blocks.atOtherVersions(run.parts())) {
            ServiceVersion version = run.parts().iterator().next().version();
            PartBlock here = block.at(version).crashedAgain(recorded.atNanos(), run.sentNanos());
            recorded.explainBy(here.parts());
            blocks.add(here);
            changes.add(new BlockChange(BlockChange.Kind.BLOCKED, here));
        }
        return changes;
    }

    private List<BlockChange> blockCausesOf(RecordedCrash crash, long nowNanos) {
        List<BlockChange> changes = new ArrayList<>();
        for (CrashedRun run : List.copyOf(crash.runs())) {
            for (PromptPartKey part : run.parts()) {
                Standing standing = standing(part);
                if (!standing.isCause(nowNanos)) {
                    continue;
                }
                Set<PromptPartKey> together = inseparableFrom(part, standing);
                if (!blocks.covers(together)) {
                    PartBlock block = new PartBlock(together, standing.decidingCrashes(), standing.lastNanos(), 0);
                    blocks.add(block);
                    explainCrashesBy(block);
                    changes.add(new BlockChange(BlockChange.Kind.BLOCKED, block));
                }
            }
        }
        return changes;
    }

    private void explainCrashesBy(PartBlock block) {
        for (RecordedCrash crash : evidence.all()) {
            boolean explained = crash.runs().stream().anyMatch(run -> block.blocks(run.parts()));
            if (explained) {
                crash.explainBy(block.parts());
            }
        }
    }

    /** Returns a part and those that were in all its runs that crashed and are not cleared better than it is. */
    private Set<PromptPartKey> inseparableFrom(PromptPartKey part, Standing standing) {
        Set<PromptPartKey> together = new HashSet<>();
        boolean first = true;
        for (RecordedCrash crash : standing.crashes) {
            for (CrashedRun run : crash.runs()) {
                if (!run.parts().contains(part)) {
                    continue;
                }
                if (first) {
                    together.addAll(run.parts());
                    first = false;
                }
                together.retainAll(run.parts());
            }
        }
        together.removeIf(other -> !other.equals(part) && isClearedBetter(other, standing));
        return Set.copyOf(together);
    }

    private boolean isClearedBetter(PromptPartKey other, Standing standing) {
        return standing.servedBefore
                ? isServedSince(other, standing.firstNanos())
                : served.latestNanos(other).isPresent();
    }

    private boolean isServedSince(PromptPartKey part, long nanos) {
        return served.latestNanos(part).map(sent -> sent - nanos >= 0).orElse(false);
    }

    private List<BlockChange> lift(PromptPartKey part, long sentNanos) {
        List<BlockChange> changes = new ArrayList<>();
        for (PartBlock block : blocks.containing(part)) {
            if (sentNanos - block.lastCrashNanos() >= 0) {
                blocks.replace(block, block.without(part));
                changes.add(new BlockChange(BlockChange.Kind.LIFTED, block));
            }
        }
        return changes;
    }

    /** Returns whether what this host has served clears a part better than what hosts have told each other. */
    private boolean isWorthTelling(PromptPartKey part) {
        Optional<Long> lastCrash = evidence.latestCrashNanos(part);
        Optional<Long> own = served.ownNanos(part);
        if (lastCrash.isEmpty() || own.isEmpty()) {
            return false;
        }
        Optional<Long> told = served.toldNanos(part);
        boolean clears = own.get() - lastCrash.get() >= 0;
        boolean toldClears = told.map(sent -> sent - lastCrash.get() >= 0).orElse(false);
        return told.isEmpty() || (clears && !toldClears);
    }

    private Standing standing(PromptPartKey part) {
        Optional<Long> servedNanos = served.latestNanos(part);
        List<RecordedCrash> crashes = evidence.against(part, servedNanos);
        int sequential = 0;
        long lastNanos = 0;
        for (RecordedCrash crash : crashes) {
            if (sequential == 0 || crash.latestSentNanos(part) - lastNanos + TIME_TOLERANCE_NANOS >= 0) {
                sequential++;
                lastNanos = crash.atNanos();
            }
        }
        return new Standing(crashes, sequential, servedNanos.isPresent());
    }

    private static Kind worse(Kind first, Kind second) {
        return first.compareTo(second) >= 0 ? first : second;
    }

    /**
     * What speaks against a part. Immutable.
     *
     * @param crashes the crashes that count against it, in order
     * @param sequential the longest chain of crashes each of whose runs was sent after the crash before
     * @param servedBefore whether the part was served before the first of them
     */
    private record Standing(List<RecordedCrash> crashes, int sequential, boolean servedBefore) {
        boolean isCause(long nowNanos) {
            if (!servedBefore) {
                return sequential >= CRASHES_OF_UNSERVED_PART;
            }
            return crashes.size() >= CRASHES_OF_SERVED_PART
                    && sequential >= CRASHES_BEFORE_CONFINEMENT
                    && nowNanos - firstNanos() >= SERVED_PART_HOLD_NANOS;
        }

        long firstNanos() {
            return crashes.get(0).atNanos();
        }

        long lastNanos() {
            return crashes.get(crashes.size() - 1).atNanos();
        }

        List<DecidingCrash> decidingCrashes() {
            return crashes.stream()
                    .map(crash -> new DecidingCrash(
                            crash.endpoint().id(), crash.reporter().value(), crash.atNanos()))
                    .toList();
        }
    }
}
