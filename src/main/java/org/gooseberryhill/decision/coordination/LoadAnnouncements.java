package org.gooseberryhill.decision.coordination;

import java.util.Collection;
import java.util.List;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import org.gooseberryhill.host.HostId;

/**
 * Decides when a coordinator tells the others the load of its groups. Not thread-safe.
 *
 * <p>Load pattern: ten coordinators that tell each other ten times a second that nothing has changed spend most of the
 * processor time of an idle fleet.
 *
 * <p>Invariants: a load that has changed is told at the next sample; one that has not changed is repeated before others
 * take it for outdated.
 */
public final class LoadAnnouncements {
    /**
     * Loads count as outdated after 500 ms, hosts whose reports on quotas are missing after 400 ms. Between two
     * announcements of the same load, one may be late by 200 ms.
     */
    static final long REPEAT_NANOS = TimeUnit.MILLISECONDS.toNanos(300);

    static final long REPEAT_WITH_QUOTAS_NANOS = TimeUnit.MILLISECONDS.toNanos(200);

    /** Half of the time between two samples: a sample that is a little early must not delay a repetition to the next. */
    private static final long TOLERANCE_NANOS = TimeUnit.MILLISECONDS.toNanos(50);

    private List<GroupLoad> announced = List.of();
    private Set<HostId> receivers = Set.of();
    private long announcedNanos;

    /**
     * Returns whether the loads are announced now; called with each sample that has loads.
     *
     * @param loads loads of the groups that this host coordinates, in any order
     * @param others coordinators that get an announcement
     * @param quotaActivity whether this host was asked to admit requests of accounts since the last sample
     * @param quotasInUse whether accounts have quotas, of which the reports go along with the loads
     */
    public boolean isDue(
            List<GroupLoad> loads,
            Collection<HostId> others,
            boolean quotaActivity,
            boolean quotasInUse,
            long nowNanos) {
        long repeatNanos = quotasInUse ? REPEAT_WITH_QUOTAS_NANOS : REPEAT_NANOS;
        boolean repeated = nowNanos - announcedNanos >= repeatNanos - TOLERANCE_NANOS;
        Set<HostId> currentReceivers = Set.copyOf(others);
        boolean changed = !loads.equals(announced) || !currentReceivers.equals(receivers);
        if (!repeated && !changed && !quotaActivity) {
            return false;
        }
        announced = List.copyOf(loads);
        receivers = currentReceivers;
        announcedNanos = nowNanos;
        return true;
    }
}
