package org.gooseberryhill.directory;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;

/**
 * The partition of the endpoints of each service into groups of similar size. Immutable.
 *
 * <p>Invariants: each endpoint belongs to one group; hosts with the same directory compute the same groups. Endpoints of
 * an availability zone are in adjacent groups, so that a group spans few zones. When an endpoint comes or goes, at most one
 * endpoint moves across each boundary between two groups.
 */
public final class EndpointGroups {
    /** The partition of an empty directory. */
    public static final EndpointGroups NONE = new EndpointGroups(Map.of(), Map.of());

    /**
     * Maximum number of endpoints in a group. The larger a group, the less the load of its endpoints differs; the host
     * that assigns its slots handles each start and end of a request there.
     */
    static final int MAX_GROUP_ENDPOINTS = 16;

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
        Map<String, List<EndpointEntry>> byService = new TreeMap<>();
        entries.forEach(entry -> byService
                .computeIfAbsent(entry.service(), service -> new ArrayList<>())
                .add(entry));
        Map<String, List<EndpointGroup>> groups = new HashMap<>();
        Map<EndpointGroup, List<EndpointEntry>> members = new HashMap<>();
        byService.forEach((service, endpoints) -> {
            endpoints.sort(ORDER);
            int count = (endpoints.size() + MAX_GROUP_ENDPOINTS - 1) / MAX_GROUP_ENDPOINTS;
            List<EndpointGroup> ofService = new ArrayList<>();
            for (int number = 0; number < count; number++) {
                EndpointGroup group = new EndpointGroup(service, number);
                int from = number * endpoints.size() / count;
                int to = (number + 1) * endpoints.size() / count;
                members.put(group, List.copyOf(endpoints.subList(from, to)));
                ofService.add(group);
            }
            groups.put(service, ofService);
        });
        return new EndpointGroups(groups, members);
    }

    /** Returns the groups of a service in the order of their numbers. */
    public List<EndpointGroup> of(String service) {
        return groupsByService.getOrDefault(service, List.of());
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
