package org.gooseberryhill.directory;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import org.gooseberryhill.zone.AvailabilityZone;

/**
 * The partition of the endpoints of each service into groups of similar size. Immutable.
 *
 * <p>Invariants: each endpoint belongs to one group; hosts with the same directory compute the same groups. Endpoints of
 * an availability zone are in adjacent groups, so that a group spans few zones. When an endpoint comes or goes, at most one
 * endpoint moves across each boundary between two groups, unless the number of groups changes.
 *
 * <p>The groups of a service in several zones follow the zones while these have 12 endpoints each on average: each group is then of one
 * zone. The mean over the zones decides, so that endpoints which come and go in one zone do not move the groups of the
 * others, and no earlier state of the directory matters.
 */
public final class EndpointGroups {
    /** The partition of an empty directory. */
    public static final EndpointGroups NONE = new EndpointGroups(Map.of(), Map.of());

    /**
     * Maximum number of endpoints in a group. The larger a group, the less the load of its endpoints differs; the host
     * that assigns its slots handles each start and end of a request there.
     */
    static final int MAX_GROUP_ENDPOINTS = 16;

    /**
     * Maximum number of endpoints in a group that follows a zone. Requests leave a full group only if that pays, so such a
     * group has to absorb more of the fluctuation itself: with two groups of 10 or 11 endpoints in each of three zones, 0.9965
     * of the streams were on time at 1.2 times the demand, and 0.9999 with one group of 21.
     */
    static final int MAX_ZONE_GROUP_ENDPOINTS = 24;

    /** Mean number of endpoints in a zone from which the groups follow the zones: most of a full group. */
    static final int MIN_ZONE_ENDPOINTS = 12;

    /**
     * Distance between the first numbers of the groups of two zones. A zone that grows does not renumber the groups of
     * others, and the numbers differ from those of groups that span zones, which other hosts may use for a moment.
     */
    private static final int ZONE_NUMBERS = 1000;

    private static final Comparator<EndpointEntry> ORDER =
            Comparator.comparing((EndpointEntry entry) -> entry.zone().name()).thenComparing(EndpointEntry::key);

    private final Map<String, List<EndpointGroup>> groupsByService;
    private final Map<EndpointGroup, List<EndpointEntry>> members;
    private final Map<EndpointKey, EndpointGroup> groupsByEndpoint = new HashMap<>();

    private EndpointGroups(
            Map<String, List<EndpointGroup>> groupsByService, Map<EndpointGroup, List<EndpointEntry>> members) {
        this.groupsByService = groupsByService;
        this.members = members;
        members.forEach((group, entries) -> entries.forEach(entry -> groupsByEndpoint.put(entry.key(), group)));
    }

    /** Partitions the endpoints of a directory. */
    public static EndpointGroups of(Collection<EndpointEntry> entries) {
        return partition(entries, MIN_ZONE_ENDPOINTS);
    }

    /** Partitions the endpoints of a directory into groups that may span zones, whatever the number of endpoints. */
    public static EndpointGroups spanningZones(Collection<EndpointEntry> entries) {
        return partition(entries, Integer.MAX_VALUE);
    }

    private static EndpointGroups partition(Collection<EndpointEntry> entries, int minZoneEndpoints) {
        Map<String, List<EndpointEntry>> byService = new TreeMap<>();
        entries.forEach(entry -> byService
                .computeIfAbsent(entry.service(), service -> new ArrayList<>())
                .add(entry));
        Map<String, List<EndpointGroup>> groups = new HashMap<>();
        Map<EndpointGroup, List<EndpointEntry>> members = new HashMap<>();
        byService.forEach((service, endpoints) -> {
            endpoints.sort(ORDER);
            Map<String, List<EndpointEntry>> byZone = new TreeMap<>();
            endpoints.forEach(entry -> byZone.computeIfAbsent(entry.zone().name(), zone -> new ArrayList<>())
                    .add(entry));
            List<EndpointGroup> ofService = new ArrayList<>();
            if (byZone.size() < 2 || endpoints.size() < (long) minZoneEndpoints * byZone.size()) {
                split(service, 0, MAX_GROUP_ENDPOINTS, endpoints, ofService, members);
            } else {
                int firstNumber = ZONE_NUMBERS;
                for (List<EndpointEntry> ofZone : byZone.values()) {
                    split(service, firstNumber, MAX_ZONE_GROUP_ENDPOINTS, ofZone, ofService, members);
                    firstNumber += ZONE_NUMBERS;
                }
            }
            groups.put(service, ofService);
        });
        return new EndpointGroups(groups, members);
    }

    private static void split(
            String service,
            int firstNumber,
            int maxEndpoints,
            List<EndpointEntry> endpoints,
            List<EndpointGroup> ofService,
            Map<EndpointGroup, List<EndpointEntry>> members) {
        int count = (endpoints.size() + maxEndpoints - 1) / maxEndpoints;
        for (int number = 0; number < count; number++) {
            EndpointGroup group = new EndpointGroup(service, firstNumber + number);
            int from = number * endpoints.size() / count;
            int to = (number + 1) * endpoints.size() / count;
            members.put(group, List.copyOf(endpoints.subList(from, to)));
            ofService.add(group);
        }
    }

    /** Returns the groups of a service in the order of their numbers. */
    public List<EndpointGroup> of(String service) {
        return groupsByService.getOrDefault(service, List.of());
    }

    /** Returns the zone of a group of a service whose groups follow the zones; empty for other groups. */
    public Optional<AvailabilityZone> zoneOf(EndpointGroup group) {
        return group.number() < ZONE_NUMBERS
                ? Optional.empty()
                : members(group).stream().findFirst().map(EndpointEntry::zone);
    }

    /** Returns the groups of a service in a zone; empty unless the groups of the service follow the zones. */
    public List<EndpointGroup> inZone(String service, AvailabilityZone zone) {
        return of(service).stream()
                .filter(group -> zoneOf(group).equals(Optional.of(zone)))
                .toList();
    }

    /** Returns whether the same endpoints are in the same groups, whatever else has changed in their registrations. */
    public boolean hasSameGroups(EndpointGroups other) {
        return groupsByEndpoint.equals(other.groupsByEndpoint);
    }

    /** Returns all groups. */
    public Collection<EndpointGroup> all() {
        return members.keySet();
    }

    /** Returns the endpoints of a group; empty if there is no such group. */
    public List<EndpointEntry> members(EndpointGroup group) {
        return members.getOrDefault(group, List.of());
    }

    /** Returns the group of an endpoint, if the endpoint is in the directory. */
    public Optional<EndpointGroup> groupOf(EndpointKey endpoint) {
        return Optional.ofNullable(groupsByEndpoint.get(endpoint));
    }
}
