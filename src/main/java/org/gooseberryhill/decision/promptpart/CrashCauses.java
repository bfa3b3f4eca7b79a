package org.gooseberryhill.decision.promptpart;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashSet;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import org.gooseberryhill.directory.ServiceVersion;

/**
 * Finds the parts of prompts that explain the crashes of endpoints, and blocks them. Not thread-safe.
 *
 * <p>Invariant: a crash at which a blocked part was in flight does not count against another part.
 */
final class CrashCauses {
    /** Tolerance of times that hosts tell each other. */
    private static final long TIME_TOLERANCE_NANOS = TimeUnit.MILLISECONDS.toNanos(20);

    /** Hosts learn of crashes at the same moment within this time. */
    private static final long SAME_MOMENT_NANOS = TimeUnit.MILLISECONDS.toNanos(10);

    /** Crashes at the same moment that have another cause than requests, each of which crashes one endpoint. */
    private static final int MASS_LOSS = 3;

    private final CrashEvidence evidence;
    private final ServedParts served;
    private final PartBlocks blocks;

    CrashCauses(CrashEvidence evidence, ServedParts served, PartBlocks blocks) {
        this.evidence = evidence;
        this.served = served;
        this.blocks = blocks;
    }

    /** Returns what speaks against a part. */
    PartStanding standing(PromptPartKey part) {
        Optional<Long> servedNanos = served.latestNanos(part);
        List<RecordedCrash> crashes = evidence.against(part, servedNanos);
        int sequential = 0;
        int alone = 0;
        long lastNanos = 0;
        for (RecordedCrash crash : crashes) {
            boolean otherCause = evidence.hasCrashWithout(part, crash.atNanos(), TIME_TOLERANCE_NANOS);
            boolean massLoss = otherCause || evidence.crashesWithin(crash.atNanos(), SAME_MOMENT_NANOS) >= MASS_LOSS;
            alone += massLoss ? 0 : 1;
            boolean later = crash.atNanos() - lastNanos > TIME_TOLERANCE_NANOS
                    && crash.latestSentNanos(part) - lastNanos + TIME_TOLERANCE_NANOS >= 0;
            if (sequential == 0 ? !otherCause : later && !massLoss) {
                sequential++;
                lastNanos = crash.atNanos();
            }
        }
        return new PartStanding(crashes, sequential, alone, servedNanos.isPresent(), served.runNanos(part));
    }

    /** Marks a crash as explained if a blocked part was in flight in a run; blocks a part that is blocked at another version. */
    List<BlockChange> explain(RecordedCrash recorded, CrashedRun run) {
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

    /** Blocks the causes of some crashes, the part with the most crashes first, which may explain those of the others. */
    List<BlockChange> block(Collection<RecordedCrash> crashes, long nowNanos) {
        List<BlockChange> changes = new ArrayList<>();
        Optional<PartBlock> block = worstCause(crashes, nowNanos);
        while (block.isPresent()) {
            blocks.add(block.get());
            changes.add(new BlockChange(BlockChange.Kind.BLOCKED, block.get()));
            changes.addAll(liftExplainedBy(block.get(), explainCrashesBy(block.get())));
            block = worstCause(crashes, nowNanos);
        }
        return changes;
    }

    private Optional<PartBlock> worstCause(Collection<RecordedCrash> crashes, long nowNanos) {
        Set<PromptPartKey> parts = new LinkedHashSet<>();
        crashes.forEach(crash -> parts.addAll(crash.parts()));
        Optional<PartBlock> worst = Optional.empty();
        for (PromptPartKey part : parts) {
            PartStanding standing = standing(part);
            if (standing.isCause(nowNanos)
                    && worst.map(other -> isBetterCause(standing, other)).orElse(true)) {
                Set<PromptPartKey> together = inseparableFrom(part, standing);
                if (!blocks.covers(together)) {
                    worst = Optional.of(new PartBlock(
                            together,
                            standing.decidingCrashes(),
                            standing.lastNanos(),
                            !standing.servedBefore(),
                            standing.servedBefore() ? PartBlock.NO_TRIAL_SERVED : PartBlock.NO_TRIAL));
                }
            }
        }
        return worst;
    }

    /** Returns whether a part explains crashes better: one that nobody has served does, whatever the number of crashes. */
    private static boolean isBetterCause(PartStanding standing, PartBlock other) {
        if (standing.servedBefore() == other.beganUnserved()) {
            return !standing.servedBefore();
        }
        return standing.crashes().size() > other.crashes().size();
    }

    /**
     * Lifts the blocks all of whose crashes a later block with more crashes explains; a part that was served before is no better
     * explanation than one that never was.
     */
    private List<BlockChange> liftExplainedBy(PartBlock later, Set<String> explained) {
        List<BlockChange> changes = new ArrayList<>();
        for (PartBlock block : blocks.all()) {
            boolean weaker = block.crashes().size() < later.crashes().size()
                    && (later.beganUnserved() || !block.beganUnserved());
            if (weaker && explained.containsAll(block.endpoints())) {
                blocks.replace(block, Optional.empty());
                evidence.all().forEach(crash -> crash.withdrawExplanation(block.parts(), later.parts()));
                changes.add(new BlockChange(BlockChange.Kind.LIFTED, block));
            }
        }
        return changes;
    }

    /** Marks the crashes at which a request with the blocked parts was in flight, and returns their endpoints' ids. */
    private Set<String> explainCrashesBy(PartBlock block) {
        Set<String> explained = new HashSet<>();
        for (RecordedCrash crash : evidence.all()) {
            if (crash.runs().stream().anyMatch(run -> block.blocks(run.parts()))) {
                crash.explainBy(block.parts());
                explained.add(crash.endpoint().id());
            }
        }
        return explained;
    }

    /** Returns a part and those that were beside it in some run at each of its crashes and are not cleared better than it is. */
    private Set<PromptPartKey> inseparableFrom(PromptPartKey part, PartStanding standing) {
        Set<PromptPartKey> together = standing.crashes().get(0).partsBeside(part);
        standing.crashes().forEach(crash -> together.retainAll(crash.partsBeside(part)));
        together.removeIf(other -> !other.equals(part) && isClearedBetter(other, standing));
        return Set.copyOf(together);
    }

    private boolean isClearedBetter(PromptPartKey other, PartStanding standing) {
        return standing.servedBefore()
                ? served.isServedSince(other, standing.firstNanos())
                : served.latestNanos(other).isPresent();
    }
}
