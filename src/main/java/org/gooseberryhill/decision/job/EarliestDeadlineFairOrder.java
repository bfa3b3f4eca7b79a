package org.gooseberryhill.decision.job;

import java.util.Comparator;
import java.util.List;
import java.util.Optional;

/**
 * Jobs that may miss their due time first, earliest due first; the rest fairly among callers. Stateless.
 *
 * <p>A job is urgent when what is left, at its present pace, needs more than half of the time until it is due. Jobs
 * that are not urgent give way to the caller with the fewest items in flight, so that one caller's large job does not
 * keep the others waiting for a day.
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
        long leftMillis = job.record().dueMillis() - context.nowMillis();
        double neededMillis = job.remainingItems() * job.meanItemMillis() / Math.max(1, job.running());
        return neededMillis > URGENT_SHARE * leftMillis;
    }
}
