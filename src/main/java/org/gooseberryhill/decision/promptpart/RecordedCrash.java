package org.gooseberryhill.decision.promptpart;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashSet;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;
import org.gooseberryhill.directory.EndpointKey;
import org.gooseberryhill.host.HostId;

/** A crash of an endpoint, with what all hosts have told of it. Not thread-safe. */
final class RecordedCrash {
    private final EndpointKey endpoint;
    private final HostId reporter;
    private final List<CrashedRun> runs = new ArrayList<>();
    private final Set<PromptPartKey> explainedBy = new HashSet<>();
    private long atNanos;

    RecordedCrash(EndpointCrash crash) {
        this.endpoint = crash.endpoint();
        this.reporter = crash.reporter();
        this.atNanos = crash.atNanos();
    }

    EndpointKey endpoint() {
        return endpoint;
    }

    /** Returns the host that reported the crash first. */
    HostId reporter() {
        return reporter;
    }

    long atNanos() {
        return atNanos;
    }

    List<CrashedRun> runs() {
        return runs;
    }

    /** Returns the parts that were in flight. */
    Set<PromptPartKey> parts() {
        Set<PromptPartKey> parts = new LinkedHashSet<>();
        runs.forEach(run -> parts.addAll(run.parts()));
        return parts;
    }

    boolean hasPart(PromptPartKey part) {
        return runs.stream().anyMatch(run -> run.parts().contains(part));
    }

    /** Adds what another host tells of the crash. */
    void add(long reportedAtNanos, Collection<CrashedRun> reported) {
        atNanos = Math.min(atNanos, reportedAtNanos);
        runs.addAll(reported);
    }

    /** Records that blocked parts were in flight: the crash is no evidence against other parts. */
    void explainBy(Set<PromptPartKey> blocked) {
        explainedBy.addAll(blocked);
    }

    /** Records that parts that were blocked are not any more, since others explain the crash. */
    void withdrawExplanation(Set<PromptPartKey> blocked, Set<PromptPartKey> others) {
        blocked.stream().filter(part -> !others.contains(part)).forEach(explainedBy::remove);
    }

    /** Returns whether the crash is evidence against a part that was in flight. */
    boolean countsAgainst(PromptPartKey part) {
        return explainedBy.isEmpty() || explainedBy.contains(part);
    }

    /** Returns a part and those that were in a run with it. */
    Set<PromptPartKey> partsBeside(PromptPartKey part) {
        Set<PromptPartKey> beside = new HashSet<>();
        runs.stream().filter(run -> run.parts().contains(part)).forEach(run -> beside.addAll(run.parts()));
        return beside;
    }

    /** Returns when the latest run with a part was sent to the endpoint, in nanoseconds. */
    long latestSentNanos(PromptPartKey part) {
        return runs.stream()
                .filter(run -> run.parts().contains(part))
                .mapToLong(CrashedRun::sentNanos)
                .max()
                .orElse(atNanos);
    }
}
