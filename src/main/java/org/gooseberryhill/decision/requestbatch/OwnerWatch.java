package org.gooseberryhill.decision.requestbatch;

import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.TimeUnit;

/**
 * Detects the loss of the owners of batches. Not thread-safe.
 *
 * <p>Failure: an owner that has just started is missing from a list of live hosts that is some seconds old. Its batches
 * are taken over, it takes them back, and all their items run again each time. An owner therefore counts as lost only
 * when its process has been missing for a while: neither in the list of live hosts nor heard from directly. Batches of
 * an earlier process of this host may be taken over at once.
 */
public final class OwnerWatch {
    /**
     * The delay for a process that was never seen alive: longer than a new host takes to be listed, and longer than the
     * list may lag behind.
     */
    private static final long UNKNOWN_LOST_AFTER_NANOS = TimeUnit.MILLISECONDS.toNanos(2500);

    /**
     * The delay for a process that was seen alive: it can't be too new for the list. Hosts send each other a heartbeat
     * every second, so the delay covers one more heartbeat.
     */
    private static final long KNOWN_LOST_AFTER_NANOS = TimeUnit.MILLISECONDS.toNanos(1200);

    /**
     * The delay for an earlier process of a restarted host: the host takes over its own batches, others only if it does
     * not.
     */
    private static final long RESTARTED_AFTER_NANOS = TimeUnit.MILLISECONDS.toNanos(6000);

    /**
     * Processes that are missing for longer are forgotten: their batches have long been taken over, or the process is
     * tracked again as one that was never seen alive.
     */
    private static final long FORGET_NANOS = TimeUnit.MINUTES.toNanos(1);

    private final String self;
    private final Map<String, Missing> missing = new HashMap<>();
    private final Set<String> toldLost = new HashSet<>();
    private Map<String, String> live = Map.of();

    /**
     * Creates a watch without any known owners.
     *
     * @param self the host that watches the owners
     */
    public OwnerWatch(String self) {
        this.self = self;
    }

    /**
     * Updates the set of live processes. Has to be called periodically.
     *
     * @param liveStarts the process of each host that is known to be alive now, by host
     * @return whether a process that was seen alive has become lost since the last call
     */
    public boolean observe(Map<String, String> liveStarts, long nowNanos) {
        live.forEach((host, start) -> missing.putIfAbsent(process(host, start), new Missing(host, nowNanos, true)));
        liveStarts.forEach((host, start) -> missing.remove(process(host, start)));
        live = Map.copyOf(liveStarts);
        missing.values().removeIf(since -> nowNanos - since.sinceNanos >= FORGET_NANOS);
        toldLost.retainAll(missing.keySet());
        boolean newlyLost = false;
        for (Map.Entry<String, Missing> entry : missing.entrySet()) {
            boolean lost = entry.getValue().seenAlive && isPatienceOver(entry.getValue(), nowNanos);
            newlyLost |= lost && toldLost.add(entry.getKey());
        }
        return newlyLost;
    }

    /**
     * Returns whether the owner of a batch is lost; starts tracking an owner that is not known yet.
     *
     * @param owner the owner's host
     * @param ownerStart the owner's process on that host
     */
    public boolean isLost(String owner, String ownerStart, long nowNanos) {
        if (isLive(owner, ownerStart)) {
            return false;
        }
        if (owner.equals(self)) {
            return true;
        }
        String process = process(owner, ownerStart);
        Missing since = missing.computeIfAbsent(process, key -> new Missing(owner, nowNanos, false));
        return isPatienceOver(since, nowNanos);
    }

    /** Returns whether a process is known to be alive now. */
    public boolean isLive(String host, String start) {
        return start.equals(live.get(host));
    }

    private boolean isPatienceOver(Missing since, long nowNanos) {
        long patienceNanos = since.seenAlive ? KNOWN_LOST_AFTER_NANOS : UNKNOWN_LOST_AFTER_NANOS;
        if (live.containsKey(since.host)) {
            patienceNanos = RESTARTED_AFTER_NANOS;
        }
        return nowNanos - since.sinceNanos >= patienceNanos;
    }

    private static String process(String host, String start) {
        return host + " " + start;
    }

    /** A missing process of a host: since when it is missing, and whether it was seen alive before. */
    private record Missing(String host, long sinceNanos, boolean seenAlive) {}
}
