package org.gooseberryhill.decision.coordination;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.Deque;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import org.gooseberryhill.host.HostId;

/** The items of all hosts that wait for a slot of one service. Not thread-safe. */
final class WaitingQueue {
    private final ItemOrder order;
    private final BatchPressure batchPressure = new BatchPressure();
    private final Map<HostId, Waiting> byOwner = new HashMap<>();
    private double pressure;

    WaitingQueue(ItemOrder order) {
        this.order = order;
    }

    /**
     * Replaces the waiting items of a host.
     *
     * @param grantsInTransit number of grants that the host had not received when it announced the items; its first items
     *     will use them
     */
    void replace(HostId owner, WaitingItems items, int grantsInTransit, long nowNanos) {
        Deque<ItemTiming> timings = new ArrayDeque<>(items.timings());
        for (int i = 0; i < grantsInTransit; i++) {
            timings.poll();
        }
        if (timings.isEmpty()) {
            byOwner.remove(owner);
        } else {
            byOwner.put(owner, new Waiting(timings, nowNanos));
        }
    }

    void remove(HostId owner) {
        byOwner.remove(owner);
    }

    /** Samples the number of slots of the service that online requests leave free. */
    void sampleFreeSlots(int slots, long nowNanos) {
        batchPressure.sampleFreeSlots(slots);
        List<ItemTiming> timings = new ArrayList<>();
        byOwner.values().forEach(waiting -> waiting.addAll(timings, nowNanos));
        pressure = batchPressure.of(timings);
    }

    /** Returns the pressure of the waiting items, as of the last sample. */
    double pressure() {
        return pressure;
    }

    /** Returns the first item in the order for free slots; empty if none waits. */
    Optional<Candidate> first(long nowNanos) {
        Comparator<ItemTiming> comparator = order.comparator(pressure);
        Candidate best = null;
        for (Map.Entry<HostId, Waiting> entry : byOwner.entrySet()) {
            ItemTiming timing = entry.getValue().first(nowNanos);
            if (best == null || comparator.compare(timing, best.timing) < 0) {
                best = new Candidate(entry.getKey(), timing);
            }
        }
        return Optional.ofNullable(best);
    }

    /** Removes the first item of a host, which gets a slot. */
    void takeFirst(HostId owner) {
        Waiting waiting = byOwner.get(owner);
        waiting.timings.poll();
        if (waiting.timings.isEmpty()) {
            byOwner.remove(owner);
        }
    }

    /** The first waiting item of a host. */
    record Candidate(HostId owner, ItemTiming timing) {}

    /** The waiting items of one host, as of the time when it announced them. */
    private record Waiting(Deque<ItemTiming> timings, long announcedNanos) {
        ItemTiming first(long nowNanos) {
            return timings.peek().after(ageMillis(nowNanos));
        }

        void addAll(List<ItemTiming> receiver, long nowNanos) {
            timings.forEach(timing -> receiver.add(timing.after(ageMillis(nowNanos))));
        }

        private long ageMillis(long nowNanos) {
            return TimeUnit.NANOSECONDS.toMillis(nowNanos - announcedNanos);
        }
    }
}
