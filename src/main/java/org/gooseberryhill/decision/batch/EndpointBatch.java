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
 * Tracks the batch items of one endpoint at its steward, the only sender of batch items to it. Not thread-safe.
 *
 * <p>Invariant: the number of batch items in flight is exact, and no item is started beyond the limit of the slot
 * policy. The number of online requests is rather over- than underestimated: the last report of an entry host is used
 * for some time after reports stop, and the engine's own count of requests in flight, which lags, is used when no entry
 * host reports.
 */
public final class EndpointBatch {
    /** How long an entry host's last report is used without a newer one; reports are repeated every 5 s. */
    private static final long REPORT_RETENTION_NANOS = TimeUnit.MILLISECONDS.toNanos(12_000);

    /** How long the engine's own count of requests in flight is used; it lags, so it must not outlive newer reports. */
    private static final long ENGINE_COUNT_RETENTION_NANOS = TimeUnit.MILLISECONDS.toNanos(1500);

    private final BatchSlotPolicy slotPolicy;
    private final YieldOrder yieldOrder;
    private final TailLatencyCap tailLatencyCap;
    private final Map<HostId, Report> onlineByEntry = new HashMap<>();
    private final Map<Long, RunningItem> running = new LinkedHashMap<>();
    private EndpointSettings settings;
    private int weightPercent;
    private int engineOnlineInFlight;
    private long engineReportedNanos = Long.MIN_VALUE;
    private boolean leaving;
    private long pausedUntilNanos = Long.MIN_VALUE;

    /** Creates the state of an idle endpoint. */
    public EndpointBatch(
            EndpointSettings settings, int weightPercent, BatchSlotPolicy slotPolicy, YieldOrder yieldOrder) {
        this.settings = settings;
        this.weightPercent = weightPercent;
        this.slotPolicy = slotPolicy;
        this.yieldOrder = yieldOrder;
        this.tailLatencyCap = new TailLatencyCap(settings.slots());
    }

    /** Returns the endpoint's settings. */
    public EndpointSettings settings() {
        return settings;
    }

    /** Applies changed settings. */
    public void configure(EndpointSettings newSettings, int newWeightPercent) {
        settings = newSettings;
        weightPercent = newWeightPercent;
    }

    /**
     * Applies an entry host's report of its online requests in flight and returns the items that must yield now.
     *
     * @param slow whether the endpoint's online tail latency exceeds its target
     */
    public List<RunningItem> onOnlineReport(HostId entry, int inFlight, boolean slow, long nowNanos) {
        onlineByEntry.put(entry, new Report(inFlight, nowNanos));
        if (slow) {
            tailLatencyCap.recordSlow(running.size(), nowNanos);
        }
        return itemsToYield(nowNanos);
    }

    /** Discards the reports of entry hosts that are not present: a lost host has no requests in flight. */
    public void retainEntries(Set<HostId> entries) {
        onlineByEntry.keySet().retainAll(entries);
    }

    /** Applies the engine's own, lagging count of requests in flight and returns the items that must yield now. */
    public List<RunningItem> onEngineReport(int active, long nowNanos) {
        engineOnlineInFlight = Math.max(0, active - running.size());
        engineReportedNanos = nowNanos;
        return itemsToYield(nowNanos);
    }

    /** Sets whether the endpoint is leaving; a leaving endpoint gets no new items. */
    public void setLeaving(boolean nowLeaving) {
        leaving = nowLeaving;
    }

    /** Starts no new items for the given time in milliseconds, after a failure of the endpoint. */
    public void pause(long millis, long nowNanos) {
        pausedUntilNanos = nowNanos + TimeUnit.MILLISECONDS.toNanos(millis);
    }

    /** Returns how many more items may start now. */
    public int freeSlots(long nowNanos) {
        boolean paused = pausedUntilNanos != Long.MIN_VALUE && nowNanos - pausedUntilNanos < 0;
        if (leaving || settings.leaving() || paused) {
            return 0;
        }
        return Math.max(0, allowedItems(nowNanos) - running.size());
    }

    /** Records the start of an item. */
    public void recordStart(RunningItem item) {
        running.put(item.runNumber(), item);
    }

    /** Records the end of an item's run, successful or not. */
    public void recordEnd(long runNumber) {
        running.remove(runNumber);
    }

    /** Returns the items in flight. */
    public Collection<RunningItem> running() {
        return List.copyOf(running.values());
    }

    /** Returns the best available estimate of the online requests in flight. */
    public int onlineInFlight(long nowNanos) {
        onlineByEntry.values().removeIf(report -> nowNanos - report.receivedNanos > REPORT_RETENTION_NANOS);
        int reported = onlineByEntry.values().stream()
                .mapToInt(report -> report.inFlight)
                .sum();
        boolean engineFresh =
                engineReportedNanos != Long.MIN_VALUE && nowNanos - engineReportedNanos < ENGINE_COUNT_RETENTION_NANOS;
        boolean reportsFresh = !onlineByEntry.isEmpty();
        // The engine's count lags by design. It is used only when no entry host reports; otherwise it would keep
        // batch items out long after a burst has ended.
        return engineFresh && !reportsFresh ? Math.max(reported, engineOnlineInFlight) : reported;
    }

    private List<RunningItem> itemsToYield(long nowNanos) {
        return yieldOrder.choose(running.values(), running.size() - allowedItems(nowNanos));
    }

    private int allowedItems(long nowNanos) {
        SlotCase slotCase =
                new SlotCase(settings.slots(), onlineInFlight(nowNanos), weightPercent, tailLatencyCap.value(nowNanos));
        return slotPolicy.slots(slotCase);
    }

    /** The last report of an entry host. */
    private record Report(int inFlight, long receivedNanos) {}
}
