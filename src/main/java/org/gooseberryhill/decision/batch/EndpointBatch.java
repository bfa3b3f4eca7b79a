package org.gooseberryhill.decision.batch;

import java.util.Collection;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import org.gooseberryhill.configuration.EndpointSettings;
import org.gooseberryhill.host.HostId;

/**
 * The batch side of one endpoint at its steward, the only sender of batch items there. Not thread-safe.
 *
 * <p>Invariant: batch in flight is known exactly and never started beyond what the slot policy leaves. What is known
 * of online work errs on the high side: the entries' reports are kept for a time when they stop coming, and the
 * engine's own count, which lags, stands in when no entry reports.
 */
public final class EndpointBatch {
    /** How long an entry's last report counts when no newer one comes; it repeats them each 5 s. */
    private static final long REPORT_LIFE_NANOS = TimeUnit.MILLISECONDS.toNanos(12_000);

    /** How long the engine's own count is used; it lags, so it must not outlive newer reports. */
    private static final long ENGINE_LIFE_NANOS = TimeUnit.MILLISECONDS.toNanos(1500);

    private final BatchSlotPolicy slotPolicy;
    private final YieldOrder yieldOrder;
    private final TailCap tailCap;
    private final Map<HostId, Report> onlineByEntry = new HashMap<>();
    private final Map<Long, RunningItem> running = new LinkedHashMap<>();
    private EndpointSettings settings;
    private int weightPercent;
    private int engineOthers;
    private long engineNanos = Long.MIN_VALUE;
    private boolean leaving;
    private long pausedUntilNanos = Long.MIN_VALUE;

    /** An idle endpoint. */
    public EndpointBatch(
            EndpointSettings settings, int weightPercent, BatchSlotPolicy slotPolicy, YieldOrder yieldOrder) {
        this.settings = settings;
        this.weightPercent = weightPercent;
        this.slotPolicy = slotPolicy;
        this.yieldOrder = yieldOrder;
        this.tailCap = new TailCap(settings.slots());
    }

    /** The endpoint's settings. */
    public EndpointSettings settings() {
        return settings;
    }

    /** Takes in changed settings. */
    public void configure(EndpointSettings newSettings, int newWeightPercent) {
        settings = newSettings;
        weightPercent = newWeightPercent;
    }

    /** An entry's report; returns the items that yield at once. */
    public List<RunningItem> onlineReported(HostId entry, int inFlight, boolean slow, long nowNanos) {
        onlineByEntry.put(entry, new Report(inFlight, nowNanos));
        if (slow) {
            tailCap.slow(running.size(), nowNanos);
        }
        return excess(nowNanos);
    }

    /** Keeps only the reports of entries that are present: a lost one has nothing in flight any more. */
    public void entriesPresent(Set<HostId> entries) {
        onlineByEntry.keySet().retainAll(entries);
    }

    /** The engine's own count of requests in flight, which lags; returns the items that yield at once. */
    public List<RunningItem> engineReported(int active, long nowNanos) {
        engineOthers = Math.max(0, active - running.size());
        engineNanos = nowNanos;
        return excess(nowNanos);
    }

    /** The endpoint is leaving, or is not any more. */
    public void leaving(boolean nowLeaving) {
        leaving = nowLeaving;
    }

    /** The endpoint failed: no new item before a time in milliseconds from now. */
    public void pause(long millis, long nowNanos) {
        pausedUntilNanos = nowNanos + TimeUnit.MILLISECONDS.toNanos(millis);
    }

    /** How many more items may start now. */
    public int free(long nowNanos) {
        boolean paused = pausedUntilNanos != Long.MIN_VALUE && nowNanos - pausedUntilNanos < 0;
        if (leaving || settings.leaving() || paused) {
            return 0;
        }
        return Math.max(0, allowed(nowNanos) - running.size());
    }

    /** An item starts. */
    public void started(RunningItem item) {
        running.put(item.run(), item);
    }

    /** An item ended, in whatever way. */
    public void ended(long run) {
        running.remove(run);
    }

    /** The items in flight. */
    public Collection<RunningItem> running() {
        return List.copyOf(running.values());
    }

    /** The best knowledge of online requests in flight. */
    public int online(long nowNanos) {
        onlineByEntry.values().removeIf(report -> nowNanos - report.atNanos > REPORT_LIFE_NANOS);
        int reported = onlineByEntry.values().stream()
                .mapToInt(report -> report.inFlight)
                .sum();
        boolean engineFresh = engineNanos != Long.MIN_VALUE && nowNanos - engineNanos < ENGINE_LIFE_NANOS;
        boolean reportsFresh = !onlineByEntry.isEmpty();
        // The engine's count lags by design; it only stands in when no entry reports at all, or it would keep
        // batch out long after a burst has gone.
        return engineFresh && !reportsFresh ? Math.max(reported, engineOthers) : reported;
    }

    private List<RunningItem> excess(long nowNanos) {
        return yieldOrder.choose(running.values(), running.size() - allowed(nowNanos));
    }

    private int allowed(long nowNanos) {
        SlotCase slotCase = new SlotCase(settings.slots(), online(nowNanos), weightPercent, tailCap.value(nowNanos));
        return slotPolicy.slots(slotCase);
    }

    /** An entry's last report. */
    private record Report(int inFlight, long atNanos) {}
}
