package org.gooseberryhill.decision.job;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.gooseberryhill.contract.JobKey;
import org.gooseberryhill.host.HostId;

/** Holds the jobs that one host owns and hands out their items in the given order. Not thread-safe. */
public final class OwnedJobs {
    private final DispatchOrder order;
    private final Map<JobKey, OwnedJob> jobs = new LinkedHashMap<>();

    /** Creates an instance without jobs. */
    public OwnedJobs(DispatchOrder order) {
        this.order = order;
    }

    /** Adds a job that this host claimed. */
    public void add(OwnedJob job) {
        jobs.put(job.key(), job);
    }

    /** Stops a job and removes it. */
    public Optional<OwnedJob> remove(JobKey key) {
        Optional<OwnedJob> removed = Optional.ofNullable(jobs.remove(key));
        removed.ifPresent(OwnedJob::stop);
        return removed;
    }

    /** Returns the job with this key; empty if this host does not own it. */
    public Optional<OwnedJob> find(JobKey key) {
        return Optional.ofNullable(jobs.get(key));
    }

    /** Returns a copy of the owned jobs. */
    public Collection<OwnedJob> jobs() {
        return List.copyOf(jobs.values());
    }

    /** Hands out at most the given number of items of a service to a steward. */
    public List<WorkItem> handOut(String service, int max, HostId steward, long nowNanos, long nowMillis) {
        List<WorkItem> items = new ArrayList<>();
        List<OwnedJob> ready = new ArrayList<>(ready(service, nowNanos));
        Map<String, Integer> running = runningByCaller();
        while (items.size() < max && !ready.isEmpty()) {
            OwnedJob job =
                    order.pick(ready, new DispatchContext(nowMillis, running)).orElseThrow();
            job.handOutNext(steward, nowNanos).ifPresent(item -> {
                items.add(item);
                running.merge(job.key().caller(), 1, Integer::sum);
            });
            if (!job.hasWaiting(nowNanos)) {
                ready.remove(job);
            }
        }
        return items;
    }

    /** Returns the services with waiting items, each with its earliest due time in epoch milliseconds. */
    public Map<String, Long> waitingWork(long nowNanos) {
        Map<String, Long> work = new HashMap<>();
        for (OwnedJob job : jobs.values()) {
            if (job.hasWaiting(nowNanos)) {
                work.merge(job.record().service(), job.record().dueMillis(), Math::min);
            }
        }
        return work;
    }

    /** Makes the items of a lost steward wait again. */
    public void reclaimFromSteward(HostId steward) {
        jobs.values().forEach(job -> job.reclaimFromSteward(steward));
    }

    private List<OwnedJob> ready(String service, long nowNanos) {
        return jobs.values().stream()
                .filter(job -> job.record().service().equals(service) && job.hasWaiting(nowNanos))
                .toList();
    }

    private Map<String, Integer> runningByCaller() {
        Map<String, Integer> running = new HashMap<>();
        jobs.values().forEach(job -> running.merge(job.key().caller(), job.runningItems(), Integer::sum));
        return running;
    }
}
