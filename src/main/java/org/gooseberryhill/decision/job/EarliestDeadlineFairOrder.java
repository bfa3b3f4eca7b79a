package org.gooseberryhill.decision.job;

import java.util.Comparator;
import java.util.List;
import java.util.Optional;

/**
 * Prefers jobs that may miss their due time, earliest due time first, and otherwise shares fairly among callers.
 * Stateless.
 *
 * <p>A job is urgent if its remaining items, at its present throughput, need more than half of the time until it is
 * due. If no job is urgent, the caller with the fewest items in flight comes first, so that one caller's large job does
 * not keep the others waiting for a day.
 */
public final class EarliestDeadlineFairOrder implements DispatchOrder {
    private static final double URGENT_SHARE = 0.5;

    @Override
    public Optional<OwnedJob> pick(List<OwnedJob> jobs, DispatchContext context) {
        Optional<OwnedJob> urgent = jobs.stream()
                .filter(job -> isUrgent(job, context))
                .min(Comparator.comparingLong(job -> job.record().dueMillis()));
        if (urgent.isPresent()) {
            return urgent;
        }
        return jobs.stream()
                .min(Comparator.comparingInt((OwnedJob job) ->
                                context.runningByCaller().getOrDefault(job.key().caller(), 0))
                        .thenComparingLong(job -> job.record().dueMillis()));
    }

    static boolean isUrgent(OwnedJob job, DispatchContext context) {
        long remainingMillis = job.record().dueMillis() - context.nowMillis();
        double neededMillis = job.remainingItems() * job.meanItemMillis() / Math.max(1, job.runningItems());
        return neededMillis > URGENT_SHARE * remainingMillis;
    }
}
