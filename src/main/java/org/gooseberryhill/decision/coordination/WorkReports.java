package org.gooseberryhill.decision.coordination;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.gooseberryhill.decision.dispatch.InFlight;
import org.gooseberryhill.directory.EndpointGroup;
import org.gooseberryhill.directory.EndpointKey;
import org.gooseberryhill.host.Host;
import org.gooseberryhill.host.HostId;

/** Composes what a host reports to the coordinators of the endpoints that it uses. Not thread-safe. */
public final class WorkReports {
    private final GroupRouting routing;
    private final Map<HostId, Long> lastReservations = new HashMap<>();
    private Optional<Set<Host>> reportedTo = Optional.empty();

    /** Creates the reports of a host that uses no endpoint yet. */
    public WorkReports(GroupRouting routing) {
        this.routing = routing;
    }

    /** Records that a reservation of a coordinator has arrived. */
    public void reservationReceived(HostId coordinator, long number) {
        lastReservations.merge(coordinator, number, Math::max);
    }

    /** Returns the number of a coordinator's latest reservation that has arrived; 0 if none. */
    public long lastReservation(HostId coordinator) {
        return lastReservations.getOrDefault(coordinator, 0L);
    }

    /**
     * Returns the reports for all coordinators of endpoints at which the host has requests in flight, and for those that got
     * one the last time, so that they learn of the end of it. The first reports go to all coordinators: they may still count
     * what an earlier process of the host had in flight.
     */
    public Map<Host, HostWork> compose(Map<EndpointKey, InFlight> inFlight, Collection<ItemStart> items) {
        Map<Host, Map<EndpointKey, Integer>> online = new HashMap<>();
        Map<Host, List<ItemStart>> itemsByCoordinator = new HashMap<>();
        inFlight.forEach((endpoint, count) -> routing.coordinatorOf(endpoint)
                .filter(coordinator -> count.online() > 0)
                .ifPresent(coordinator -> online.computeIfAbsent(coordinator, host -> new HashMap<>())
                        .put(endpoint, count.online())));
        items.forEach(start -> routing.coordinatorOf(start.endpoint())
                .ifPresent(coordinator -> itemsByCoordinator
                        .computeIfAbsent(coordinator, host -> new ArrayList<>())
                        .add(start)));
        Set<Host> using = new LinkedHashSet<>(online.keySet());
        using.addAll(itemsByCoordinator.keySet());
        Set<Host> coordinators = new LinkedHashSet<>(using);
        coordinators.addAll(reportedTo.orElseGet(this::allCoordinators));
        reportedTo = routing.groups().all().isEmpty() ? Optional.empty() : Optional.of(using);
        Map<Host, HostWork> reports = new HashMap<>();
        coordinators.forEach(coordinator -> reports.put(
                coordinator,
                new HostWork(
                        lastReservation(coordinator.id()),
                        online.getOrDefault(coordinator, Map.of()),
                        itemsByCoordinator.getOrDefault(coordinator, List.of()))));
        return reports;
    }

    private Set<Host> allCoordinators() {
        Set<Host> coordinators = new LinkedHashSet<>();
        routing.groups().all().forEach(group -> coordinators.add(routing.coordinator(group)));
        return coordinators;
    }

    /** Returns the coordinators of the groups of a service, whose slots its waiting items may use. */
    public Set<Host> coordinatorsOf(String service) {
        Set<Host> coordinators = new LinkedHashSet<>();
        for (EndpointGroup group : routing.groups().of(service)) {
            coordinators.add(routing.coordinator(group));
        }
        return coordinators;
    }
}
