package org.gooseberryhill.decision.zone;

import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import org.gooseberryhill.directory.EndpointGroup;
import org.gooseberryhill.host.HostId;

/**
 * The grants by which zones take requests of each other, as far as the coordinators of one host give and hold them. Not
 * thread-safe.
 *
 * <p>Invariant: two zones do not send requests of a service to each other at the same time. A coordinator sends only with
 * valid grants of all coordinators of the other zone. One that has given a grant sends nothing in the opposite direction
 * until the grant is over, and gives none for a while after it has sent. A grant starts at its holder before it starts at
 * its giver, so that neither clocks nor lost messages matter.
 */
final class RoomGrants {
    /** A load that is older may belong to a lost coordinator or to a cut link. */
    private static final long GRANT_NANOS = TimeUnit.MILLISECONDS.toNanos(500);

    /** Time in which most requests that were sent to the other zone have ended there. */
    private static final long AFTER_SENDING_NANOS = TimeUnit.MILLISECONDS.toNanos(1000);

    /** Coordinators that want room ask ten times a second. */
    private static final long ASKING_NANOS = TimeUnit.MILLISECONDS.toNanos(250);

    private final Map<ZonePair, Map<EndpointGroup, Held>> held = new HashMap<>();
    private final Map<ZonePair, Long> givenNanos = new HashMap<>();
    private final Map<ZonePair, Long> sentNanos = new HashMap<>();
    private final Map<EndpointGroup, Map<HostId, Long>> askedNanos = new HashMap<>();

    /** Returns whether a grant may be given: the zone that is to take requests has sent none in the opposite direction lately. */
    boolean mayGive(ZonePair pair, long nowNanos) {
        return !isWithin(sentNanos.get(pair.reversed()), AFTER_SENDING_NANOS, nowNanos);
    }

    /** Records that a grant was given. */
    void given(ZonePair pair, long nowNanos) {
        givenNanos.put(pair, nowNanos);
    }

    /** Returns how many hosts ask for the room of a group at present, the asking one included. */
    int askers(EndpointGroup group, HostId asking, long nowNanos) {
        Map<HostId, Long> askers = askedNanos.computeIfAbsent(group, key -> new HashMap<>());
        askers.put(asking, nowNanos);
        askers.values().removeIf(nanos -> !isWithin(nanos, ASKING_NANOS, nowNanos));
        return askers.size();
    }

    /** Records an answer, whose grant lasts from the time of the question. */
    void answered(ZonePair pair, RoomAnswer answer, long askedAtNanos) {
        if (!answer.granted()) {
            held.remove(pair);
            return;
        }
        Map<EndpointGroup, Held> byGroup = held.computeIfAbsent(pair, key -> new HashMap<>());
        answer.rooms().forEach(room -> byGroup.put(room.group(), new Held(room.requests(), askedAtNanos)));
    }

    /** Returns the group with the most room in a zone, if all groups of the zone have granted it. */
    Optional<EndpointGroup> find(ZonePair pair, List<EndpointGroup> groups, long nowNanos) {
        if (isWithin(givenNanos.get(pair.reversed()), GRANT_NANOS, nowNanos)) {
            return Optional.empty();
        }
        Map<EndpointGroup, Held> byGroup = held.getOrDefault(pair, Map.of());
        EndpointGroup best = null;
        int most = 0;
        for (EndpointGroup group : groups) {
            Held grant = byGroup.get(group);
            if (grant == null || !isWithin(grant.askedAtNanos, GRANT_NANOS, nowNanos)) {
                return Optional.empty();
            }
            if (grant.requests > most) {
                best = group;
                most = grant.requests;
            }
        }
        return Optional.ofNullable(best);
    }

    /** Returns the most room that a group of a zone has granted; 0 if it has none. */
    int requests(ZonePair pair, EndpointGroup group) {
        return Optional.ofNullable(held.getOrDefault(pair, Map.of()).get(group))
                .map(grant -> grant.requests)
                .orElse(0);
    }

    /** Records that a request is sent to a group of another zone. */
    void sent(ZonePair pair, EndpointGroup group, long nowNanos) {
        held.get(pair).get(group).requests--;
        sentNanos.put(pair, nowNanos);
    }

    /** Drops what belongs to services and zones that are not in the directory any more. */
    void retain(Set<EndpointGroup> groups) {
        Set<String> services = new HashSet<>();
        groups.forEach(group -> services.add(group.service()));
        held.keySet().removeIf(pair -> !services.contains(pair.service()));
        held.values().forEach(byGroup -> byGroup.keySet().retainAll(groups));
        givenNanos.keySet().removeIf(pair -> !services.contains(pair.service()));
        sentNanos.keySet().removeIf(pair -> !services.contains(pair.service()));
        askedNanos.keySet().retainAll(groups);
    }

    private static boolean isWithin(Long sinceNanos, long maxNanos, long nowNanos) {
        return sinceNanos != null && nowNanos - sinceNanos < maxNanos;
    }

    /** The room that a group has granted. */
    private static final class Held {
        private int requests;
        private final long askedAtNanos;

        Held(int requests, long askedAtNanos) {
            this.requests = requests;
            this.askedAtNanos = askedAtNanos;
        }
    }
}
