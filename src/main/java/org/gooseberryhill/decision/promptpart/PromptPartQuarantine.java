package org.gooseberryhill.decision.promptpart;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.gooseberryhill.contract.Prompt;
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
    private final CrashEvidence evidence = new CrashEvidence();
    private final ServedParts served = new ServedParts();
    private final PartBlocks blocks = new PartBlocks();
    private final CrashCauses causes = new CrashCauses(evidence, served, blocks);
    private final Set<PromptPartKey> untold = new LinkedHashSet<>();

    /** Returns whether no part is suspected or blocked. */
    public boolean isIdle() {
        return evidence.isEmpty() && blocks.isEmpty();
    }

    /** Returns how a request of a caller, who can come back later, must be treated at endpoints of a version. */
    public PartVerdict verdict(Prompt prompt, ServiceVersion version, long nowNanos) {
        return verdict(prompt, version, PartBlock::nextTrialNanos, nowNanos);
    }

    /**
     * Returns how a request must be treated at endpoints of a version.
     *
     * @param trials tells when a request with blocked parts is let through
     */
    public PartVerdict verdict(Prompt prompt, ServiceVersion version, TrialSchedule trials, long nowNanos) {
        if (isIdle()) {
            return PartVerdict.CLEAR;
        }
        Set<PromptPartKey> parts = CrashedRun.sharedParts(prompt, version);
        Set<PromptPartKey> suspects = new LinkedHashSet<>();
        Kind kind = Kind.CLEAR;
        for (PartBlock block : blocks.touchedBy(parts)) {
            if (block.blocks(parts) && !trials.isTrialDue(block, nowNanos)) {
                return new PartVerdict(Kind.BLOCKED, block.parts(), trials.untilTrialMillis(block, nowNanos));
            }
            kind = Kind.CONFINED;
            block.parts().stream().filter(parts::contains).forEach(suspects::add);
        }
        for (PartBlock block : blocks.atOtherVersions(parts)) {
            Set<PromptPartKey> here = block.at(version).parts();
            if (here.stream().noneMatch(part -> served.isServedSince(part, block.lastCrashNanos()))) {
                kind = Kind.CONFINED;
                suspects.addAll(here);
            }
        }
        for (PromptPartKey part : parts) {
            PartStanding standing = causes.standing(part);
            if (standing.isSuspect()) {
                suspects.add(part);
                kind = worse(kind, standing.isConfined() ? Kind.CONFINED : Kind.SUSPECT);
            }
        }
        return kind == Kind.CLEAR ? PartVerdict.CLEAR : new PartVerdict(kind, Set.copyOf(suspects), 0);
    }

    /** Records that a host has lost requests to the crash of an endpoint, and returns what is refused because of it. */
    public List<BlockChange> endpointCrashed(EndpointCrash crash, long nowNanos) {
        RecordedCrash recorded = evidence.record(crash, nowNanos);
        List<BlockChange> changes = new ArrayList<>();
        for (CrashedRun run : crash.runs()) {
            run.parts().forEach(this::tellIfWorth);
            changes.addAll(causes.explain(recorded, run));
        }
        changes.addAll(causes.block(List.of(recorded), nowNanos));
        return changes;
    }

    /** Returns what is refused from now on because it was not served for long enough; called periodically. */
    public List<BlockChange> reassess(long nowNanos) {
        if (isIdle()) {
            return List.of();
        }
        evidence.removeExpired(nowNanos);
        blocks.removeExpired(nowNanos);
        served.retainTold(part ->
                evidence.contains(part) || !blocks.containingAtAnyVersion(part).isEmpty());
        return causes.block(evidence.all(), nowNanos);
    }

    /**
     * Records that this host has delivered the whole answer to a request.
     *
     * @param version the version of the endpoint that sent it
     * @param sentNanos when the request was sent there, in nanoseconds
     */
    public List<BlockChange> answered(Prompt prompt, ServiceVersion version, long sentNanos, long nowNanos) {
        List<BlockChange> changes = new ArrayList<>();
        for (PromptPartKey part : CrashedRun.sharedParts(prompt, version)) {
            served.recordOwn(part, sentNanos, nowNanos);
            if (!isIdle()) {
                changes.addAll(lift(part, sentNanos));
                tellIfWorth(part);
            }
        }
        return changes;
    }

    /** Records what another host has told of served parts. */
    public List<BlockChange> servedElsewhere(List<ServedPart> parts) {
        List<BlockChange> changes = new ArrayList<>();
        for (ServedPart part : parts) {
            served.recordTold(part.part(), part.sentNanos());
            changes.addAll(lift(part.part(), part.sentNanos()));
            if (!isWorthTelling(part.part())) {
                untold.remove(part.part());
            }
        }
        return changes;
    }

    /** Returns whether this host has served a suspected or blocked part, and no host has told so yet. */
    public boolean hasUntoldServedParts() {
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
        Set<String> endpoints = block.endpoints();
        Map<PromptPartKey, Integer> crashesByPart = new LinkedHashMap<>();
        for (RecordedCrash crash : evidence.all()) {
            if (endpoints.contains(crash.endpoint().id())) {
                crash.parts().forEach(part -> crashesByPart.merge(part, 1, Integer::sum));
            }
        }
        crashesByPart.keySet().removeAll(block.parts());
        Map<String, String> reasons = new LinkedHashMap<>();
        crashesByPart.forEach((part, count) -> reasons.put(
                part.part(),
                served.latestNanos(part).isPresent()
                        ? "served"
                        : "in flight at " + count + " of " + endpoints.size() + " crashes"));
        return reasons;
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

    private void tellIfWorth(PromptPartKey part) {
        if (isWorthTelling(part)) {
            untold.add(part);
        }
    }

    /** Returns whether what this host has served clears a part better than what hosts have told each other. */
    private boolean isWorthTelling(PromptPartKey part) {
        Optional<Long> own = served.ownNanos(part);
        if (own.isEmpty()) {
            return false;
        }
        Optional<Long> told = served.toldNanos(part);
        boolean lifts = blocks.containingAtAnyVersion(part).stream()
                .anyMatch(block -> own.get() - block.lastCrashNanos() >= 0
                        && told.map(sent -> sent - block.lastCrashNanos() < 0).orElse(true));
        if (lifts || !evidence.contains(part)) {
            return lifts;
        }
        int crashesToOthers = evidence.against(part, told).size();
        return told.isEmpty()
                || (crashesToOthers >= PartStanding.CRASHES_BEFORE_CONFINEMENT
                        && evidence.against(part, own).size() < crashesToOthers);
    }

    private static Kind worse(Kind first, Kind second) {
        return first.compareTo(second) >= 0 ? first : second;
    }
}
