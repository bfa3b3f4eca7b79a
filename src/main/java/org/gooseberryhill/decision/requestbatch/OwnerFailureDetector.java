package org.gooseberryhill.decision.requestbatch;

import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.TimeUnit;

/**
 * Detects the loss of the owners of batches. Not thread-safe.
 *
 * <p>Guards against taking over the batches of an owner that has just started, which is missing from a list of live
 * hosts that is some seconds old: its batches would be taken over, it would take them back, and all their items would
 * run again each time. An owner therefore counts as lost only when its process has been missing for a while: neither in
 * the list of live hosts nor heard from directly. Batches of an earlier process of this host may be taken over at once.
 */
public final class OwnerFailureDetector {
    /**
     * The time after which a missing process that was never seen alive counts as lost: longer than a new host takes to
     * be listed, and longer than the list may lag behind.
     */
    private static final long NEVER_SEEN_LOST_AFTER_NANOS = TimeUnit.MILLISECONDS.toNanos(2500);

    /**
     * The time after which a missing process that was seen alive counts as lost. It can't be too new for the list.
     * Hosts send each other a heartbeat every second, so the time covers one more heartbeat.
     */
    private static final long SEEN_ALIVE_LOST_AFTER_NANOS = TimeUnit.MILLISECONDS.toNanos(1200);

    /**
     * The time after which the earlier process of a restarted host counts as lost: the host takes over its own batches,
     * and other hosts do so only if it does not.
     */
    private static final long RESTARTED_LOST_AFTER_NANOS = TimeUnit.MILLISECONDS.toNanos(6000);

    /**
     * Processes that are missing for longer are forgotten: their batches have long been taken over, or the process is
     * tracked again as one that was never seen alive.
     */
    private static final long FORGET_AFTER_NANOS = TimeUnit.MINUTES.toNanos(1);

    private final String self;
    private final Map<String, MissingProcess> missing = new HashMap<>();
    private final Set<String> reportedLost = new HashSet<>();
    private Map<String, String> liveStartByHost = Map.of();

    /**
     * Creates a detector that tracks no owners.
     *
     * @param self the host that runs this detector
     */
    public OwnerFailureDetector(String self) {
        this.self = self;
    }

    /**
     * Updates the set of live processes. Has to be called periodically.
     *
     * @param liveProcessStarts the value that identifies the process of each host that is alive now, by host
     * @return whether a process that was seen alive has become lost since the last call
     */
    public boolean updateLiveProcesses(Map<String, String> liveProcessStarts, long nowNanos) {
        liveStartByHost.forEach((host, start) ->
                missing.putIfAbsent(processKey(host, start), new MissingProcess(host, nowNanos, true)));
        liveProcessStarts.forEach((host, start) -> missing.remove(processKey(host, start)));
        liveStartByHost = Map.copyOf(liveProcessStarts);
        missing.values().removeIf(process -> nowNanos - process.missingSinceNanos >= FORGET_AFTER_NANOS);
        reportedLost.retainAll(missing.keySet());
        boolean newlyLost = false;
        for (Map.Entry<String, MissingProcess> entry : missing.entrySet()) {
            boolean lost = entry.getValue().seenAlive && isMissingTooLong(entry.getValue(), nowNanos);
            newlyLost |= lost && reportedLost.add(entry.getKey());
        }
        return newlyLost;
    }

    /**
     * Returns whether the owner of a batch is lost; starts tracking an owner that is not tracked yet.
     *
     * @param owner the owner's host
     * @param ownerStart distinguishes the owner's process from earlier processes of that host
     */
    public boolean isLost(String owner, String ownerStart, long nowNanos) {
        if (isLive(owner, ownerStart)) {
            return false;
        }
        if (owner.equals(self)) {
            return true;
        }
        String key = processKey(owner, ownerStart);
        MissingProcess process = missing.computeIfAbsent(key, absent -> new MissingProcess(owner, nowNanos, false));
        return isMissingTooLong(process, nowNanos);
    }

    /** Returns whether a process was alive at the last call of {@link #updateLiveProcesses}. */
    public boolean isLive(String host, String start) {
        return start.equals(liveStartByHost.get(host));
    }

    private boolean isMissingTooLong(MissingProcess process, long nowNanos) {
        long lostAfterNanos = process.seenAlive ? SEEN_ALIVE_LOST_AFTER_NANOS : NEVER_SEEN_LOST_AFTER_NANOS;
        if (liveStartByHost.containsKey(process.host)) {
            lostAfterNanos = RESTARTED_LOST_AFTER_NANOS;
        }
        return nowNanos - process.missingSinceNanos >= lostAfterNanos;
    }

    private static String processKey(String host, String start) {
        return host + " " + start;
    }

    /** A missing process of a host: since when it is missing, and whether it was seen alive before. */
    private record MissingProcess(String host, long missingSinceNanos, boolean seenAlive) {}
}
