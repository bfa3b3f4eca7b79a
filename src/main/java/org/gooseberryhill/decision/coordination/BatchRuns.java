package org.gooseberryhill.decision.coordination;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.gooseberryhill.directory.EndpointKey;
import org.gooseberryhill.host.HostId;

/** The runs of batch items at the endpoints of a coordinator. Not thread-safe. */
final class BatchRuns {
    private final ItemOrder order;
    private final Map<HostId, Map<Long, Run>> byOwner = new HashMap<>();
    private final Map<EndpointKey, List<Run>> byEndpoint = new HashMap<>();

    BatchRuns(ItemOrder order) {
        this.order = order;
    }

    /** Adds a run unless it is known. */
    void add(HostId owner, ItemStart start) {
        Map<Long, Run> runs = byOwner.computeIfAbsent(owner, host -> new HashMap<>());
        if (runs.containsKey(start.number())) {
            return;
        }
        Run run = new Run(owner, start);
        runs.put(start.number(), run);
        byEndpoint.computeIfAbsent(start.endpoint(), key -> new ArrayList<>()).add(run);
    }

    /** Removes a run and returns its endpoint; empty if the run is not known. */
    Optional<EndpointKey> remove(HostId owner, long number) {
        Map<Long, Run> runs = byOwner.get(owner);
        Run run = runs == null ? null : runs.remove(number);
        if (run == null) {
            return Optional.empty();
        }
        byEndpoint.get(run.start.endpoint()).remove(run);
        return Optional.of(run.start.endpoint());
    }

    /** Replaces the runs of an owner; those that are known keep their state. */
    void replace(HostId owner, List<ItemStart> starts) {
        List<Long> numbers = starts.stream().map(ItemStart::number).toList();
        List.copyOf(byOwner.getOrDefault(owner, Map.of()).keySet()).stream()
                .filter(number -> !numbers.contains(number))
                .forEach(number -> remove(owner, number));
        starts.forEach(start -> add(owner, start));
    }

    /** Returns the number of runs at an endpoint that were told to yield and have not ended yet. */
    int yieldingCount(EndpointKey endpoint) {
        return (int) byEndpoint.getOrDefault(endpoint, List.of()).stream()
                .filter(run -> run.yielding)
                .count();
    }

    /**
     * Marks runs at an endpoint as yielding and returns them: those whose items are last in the order for free slots; among
     * equal ones the latest, which have the least output to process again.
     */
    List<Run> chooseToYield(EndpointKey endpoint, int count, double pressure) {
        List<Run> chosen = new ArrayList<>();
        List<Run> runs = byEndpoint.getOrDefault(endpoint, List.of()).stream()
                .filter(run -> !run.yielding)
                .sorted(Comparator.comparing((Run run) -> run.start.timing(), order.comparator(pressure))
                        .reversed()
                        .thenComparing(Comparator.comparingLong((Run run) -> run.start.number())
                                .reversed()))
                .toList();
        for (Run run : runs) {
            if (chosen.size() < count) {
                run.yielding = true;
                chosen.add(run);
            }
        }
        return chosen;
    }

    /** A run of an item. */
    static final class Run {
        private final HostId owner;
        private final ItemStart start;
        private boolean yielding;

        Run(HostId owner, ItemStart start) {
            this.owner = owner;
            this.start = start;
        }

        HostId owner() {
            return owner;
        }

        long number() {
            return start.number();
        }
    }
}
