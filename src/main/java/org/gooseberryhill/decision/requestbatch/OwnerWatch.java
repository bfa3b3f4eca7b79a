package org.gooseberryhill.decision.requestbatch;

import java.util.HashMap;
import java.util.Map;
import java.util.concurrent.TimeUnit;

/**
 * Tells when the owner of a batch counts as lost. Not thread-safe.
 *
 * <p>Failure: a list of live hosts that is some seconds old lacks an owner that has just started, its batches are taken from
 * it, it takes them back, and each time all their items run again. An owner is lost only when for a while neither the
 * list of live hosts named its process nor anything was heard from it; a batch that a host left behind itself, in an
 * earlier process, it may take at once.
 */
public final class OwnerWatch {
    /** Longer than a new host takes to be listed, and than the list may lag behind. */
    private static final long LOST_AFTER_NANOS = TimeUnit.MILLISECONDS.toNanos(2500);

    /** A host that came back looks after its own batches: others help only if it does not. */
    private static final long RESTARTED_AFTER_NANOS = TimeUnit.MILLISECONDS.toNanos(6000);

    private final String self;
    private final Map<Process, Long> missingSinceNanos = new HashMap<>();

    /** A watch of one host. */
    public OwnerWatch(String self) {
        this.self = self;
    }

    /**
     * Whether the owner of a batch is lost.
     *
     * @param owner the owner's host
     * @param ownerStart its process
     * @param liveStart the process of that host that is known to live now, or null if none is
     */
    public boolean isLost(String owner, String ownerStart, String liveStart, long nowNanos) {
        Process process = new Process(owner, ownerStart);
        if (ownerStart.equals(liveStart)) {
            missingSinceNanos.remove(process);
            return false;
        }
        if (owner.equals(self)) {
            return true;
        }
        long since = missingSinceNanos.computeIfAbsent(process, key -> nowNanos);
        long patienceNanos = liveStart == null ? LOST_AFTER_NANOS : RESTARTED_AFTER_NANOS;
        return nowNanos - since >= patienceNanos;
    }

    /** A process of a host. */
    private record Process(String host, String start) {}
}
