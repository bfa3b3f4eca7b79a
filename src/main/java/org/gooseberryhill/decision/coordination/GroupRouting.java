package org.gooseberryhill.decision.coordination;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.HashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.function.Function;
import org.gooseberryhill.decision.dispatch.GroupSelector;
import org.gooseberryhill.decision.ownership.Ownership;
import org.gooseberryhill.directory.EndpointEntry;
import org.gooseberryhill.directory.EndpointGroup;
import org.gooseberryhill.directory.EndpointGroups;
import org.gooseberryhill.directory.EndpointKey;
import org.gooseberryhill.host.Host;
import org.gooseberryhill.host.HostId;
import org.gooseberryhill.zone.AvailabilityZone;

/**
 * One host's view of which groups of endpoints exist, which host coordinates each of them, and which it asks first. Not
 * thread-safe.
 *
 * <p>Invariants: hosts with the same view compute the same coordinators; the loss of a host moves only the groups that it
 * coordinated; a coordinator that did not answer is not asked again for a while, so that requests do not wait for it.
 */
public final class GroupRouting implements GroupSelector {
    /** A lost coordinator is replaced about as soon; a slow one is asked again. */
    private static final long UNRESPONSIVE_NANOS = TimeUnit.MILLISECONDS.toNanos(500);

    private final Host self;
    private final Function<Collection<EndpointEntry>, EndpointGroups> partition;
    private final Map<HostId, Long> unresponsiveUntilNanos = new HashMap<>();
    private final Map<EndpointGroup, Host> coordinators = new HashMap<>();
    private final Map<String, List<EndpointGroup>> preferred = new HashMap<>();
    private EndpointGroups groups = EndpointGroups.NONE;
    private List<Host> hosts;

    /** Creates the view of a host that knows no endpoints and no other hosts. */
    public GroupRouting(Host self) {
        this(self, EndpointGroups::of);
    }

    /** Creates the view of a host that uses another partition; all hosts have to use the same. */
    public GroupRouting(Host self, Function<Collection<EndpointEntry>, EndpointGroups> partition) {
        this.self = self;
        this.partition = partition;
        this.hosts = List.of(self);
    }

    /** Replaces the endpoints; returns whether the groups changed. */
    public boolean updateEndpoints(Collection<EndpointEntry> entries) {
        EndpointGroups updated = partition.apply(entries);
        boolean changed = !updated.hasSameGroups(groups);
        groups = updated;
        if (changed) {
            preferred.clear();
            coordinators.clear();
        }
        return changed;
    }

    /** Replaces the hosts that may coordinate, this one excluded; returns whether they changed. */
    public boolean updateHosts(Collection<Host> others) {
        List<Host> updated = new ArrayList<>(others);
        updated.add(self);
        updated.sort(Comparator.comparing(Host::id));
        if (updated.equals(hosts)) {
            return false;
        }
        hosts = updated;
        coordinators.clear();
        return true;
    }

    /** Returns the groups. */
    public EndpointGroups groups() {
        return groups;
    }

    /** Returns the host that coordinates a group. */
    public Host coordinator(EndpointGroup group) {
        return coordinators.computeIfAbsent(group, this::chooseCoordinator);
    }

    /** Returns the host that coordinates the group of an endpoint; empty if the endpoint is not in the directory. */
    public Optional<Host> coordinatorOf(EndpointKey endpoint) {
        return groups.groupOf(endpoint).map(this::coordinator);
    }

    /** Returns the hosts that coordinate a group, each once. */
    public Set<Host> coordinators() {
        Set<Host> all = new LinkedHashSet<>();
        groups.all().forEach(group -> all.add(coordinator(group)));
        return all;
    }

    /** Returns a coordinator other than this host, one that is likely to answer first; empty if there is none. */
    public Optional<Host> otherCoordinator(long nowNanos) {
        return coordinators().stream()
                .filter(host -> !host.id().equals(self.id()))
                .max(Comparator.comparing((Host host) -> isResponsive(host.id(), nowNanos))
                        .thenComparing(host -> Ownership.uniform("count/" + host.id(), self)));
    }

    /** Returns whether this host coordinates a group. */
    public boolean isCoordinator(EndpointGroup group) {
        return coordinator(group).id().equals(self.id());
    }

    /** Records that a coordinator did not answer in time. */
    public void markUnresponsive(HostId coordinator, long nowNanos) {
        unresponsiveUntilNanos.put(coordinator, nowNanos + UNRESPONSIVE_NANOS);
    }

    /** Records that a coordinator answered. */
    public void markResponsive(HostId coordinator) {
        unresponsiveUntilNanos.remove(coordinator);
    }

    @Override
    public Optional<EndpointGroup> next(String service, Set<EndpointGroup> asked, long nowNanos) {
        return preferred.computeIfAbsent(service, this::preferenceOrder).stream()
                .filter(group -> !asked.contains(group)
                        && isResponsive(coordinator(group).id(), nowNanos))
                .findFirst();
    }

    @Override
    public List<EndpointEntry> members(EndpointGroup group) {
        return groups.members(group);
    }

    @Override
    public boolean followsZones(String service) {
        return groups.of(service).stream().findFirst().flatMap(groups::zoneOf).isPresent();
    }

    private boolean isResponsive(HostId coordinator, long nowNanos) {
        Long untilNanos = unresponsiveUntilNanos.get(coordinator);
        return untilNanos == null || nowNanos - untilNanos >= 0;
    }

    private Host chooseCoordinator(EndpointGroup group) {
        Optional<AvailabilityZone> zone = mainZone(group);
        return Ownership.owner("group/" + group.key(), zone, hosts).orElse(self);
    }

    private Optional<AvailabilityZone> mainZone(EndpointGroup group) {
        Map<AvailabilityZone, Integer> endpointsByZone = new HashMap<>();
        groups.members(group).forEach(entry -> endpointsByZone.merge(entry.zone(), 1, Integer::sum));
        return endpointsByZone.entrySet().stream()
                .max(Map.Entry.<AvailabilityZone, Integer>comparingByValue()
                        .thenComparing(entry -> entry.getKey().name()))
                .map(Map.Entry::getKey);
    }

    /** Orders the groups of a service: those with endpoints in this host's zone first, spread over the hosts by their slots. */
    private List<EndpointGroup> preferenceOrder(String service) {
        return groups.of(service).stream()
                .sorted(Comparator.comparing((EndpointGroup group) -> slotsInOwnZone(group) == 0)
                        .thenComparing(
                                Comparator.comparingDouble(this::preference).reversed()))
                .toList();
    }

    /** Weighted rendezvous hashing: of all hosts, a share that is proportional to its slots prefers a group. */
    private double preference(EndpointGroup group) {
        int ownZoneSlots = slotsInOwnZone(group);
        int weight = ownZoneSlots > 0 ? ownZoneSlots : slots(groups.members(group));
        double uniform = Ownership.uniform("prefer/" + group.key(), self);
        return -weight / Math.log(uniform);
    }

    private int slotsInOwnZone(EndpointGroup group) {
        return slots(groups.members(group).stream()
                .filter(entry -> entry.zone().equals(self.zone()))
                .toList());
    }

    private static int slots(List<EndpointEntry> entries) {
        return entries.stream().mapToInt(EndpointEntry::slots).sum();
    }
}
