package org.gooseberryhill.decision.job;

import java.util.Comparator;
import java.util.List;
import java.util.Optional;

/** Prefers the job that was accepted first; the baseline to compare other orders with. Stateless. */
public final class FirstComeFirstServedOrder implements DispatchOrder {
    @Override
    public Optional<OwnedJob> pick(List<OwnedJob> jobs, DispatchContext context) {
        return jobs.stream().min(Comparator.comparingLong(job -> job.record().acceptedMillis()));
    }
}
