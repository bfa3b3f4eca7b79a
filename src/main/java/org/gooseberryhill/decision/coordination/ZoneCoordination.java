package org.gooseberryhill.decision.coordination;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.gooseberryhill.decision.zone.LeaveWhenItPays;
import org.gooseberryhill.decision.zone.RoomAnswer;
import org.gooseberryhill.decision.zone.RoomQuery;
import org.gooseberryhill.decision.zone.ZoneLoad;
import org.gooseberryhill.decision.zone.ZonePair;
import org.gooseberryhill.directory.EndpointGroup;
import org.gooseberryhill.directory.EndpointGroups;
import org.gooseberryhill.host.Host;
import org.gooseberryhill.host.HostId;
import org.gooseberryhill.zone.AvailabilityZone;

/**
 * Brings together what a host knows of groups, coordinators and loads for the decision to send requests to other zones. Not
 * thread-safe.
 *
 * <p>Load pattern: most of the time no zone lacks room, so nothing is asked and no message is sent.
 */
public final class ZoneCoordination {
    private final GroupRouting routing;
    private final SlotCoordinator coordinator;
    private final LeaveWhenItPays zones;

    /** Creates the connection of a coordinator with its decision. */
    public ZoneCoordination(GroupRouting routing, SlotCoordinator coordinator, LeaveWhenItPays zones) {
        this.routing = routing;
        this.coordinator = coordinator;
        this.zones = zones;
    }

    /** A question that is due to a coordinator. */
    public record Question(Host to, RoomQuery query) {}

    /**
     * Returns the questions that are due. Called ten times a second, after {@link SlotCoordinator#sampleLoads}, whose loads it
     * uses.
     */
    public List<Question> dueQuestions(long nowNanos) {
        EndpointGroups groups = routing.groups();
        Set<ZoneOfService> own = new LinkedHashSet<>();
        for (EndpointGroup group : groups.all()) {
            if (routing.isCoordinator(group)) {
                groups.zoneOf(group).ifPresent(zone -> own.add(new ZoneOfService(group.service(), zone)));
            }
        }
        List<Question> due = new ArrayList<>();
        for (ZoneOfService zone : own) {
            for (RoomQuery query : zones.sample(groups, zone.service, zone.zone, load(zone, nowNanos), nowNanos)) {
                coordinators(query.pair()).forEach(host -> due.add(new Question(host, query)));
            }
        }
        return due;
    }

    /** Answers a coordinator of another zone. */
    public RoomAnswer answer(HostId asking, RoomQuery query, long nowNanos) {
        Map<EndpointGroup, ZoneLoad> loads = new HashMap<>();
        for (EndpointGroup group :
                routing.groups().inZone(query.pair().service(), query.pair().to())) {
            if (routing.isCoordinator(group)) {
                loads.put(group, toZoneLoad(coordinator.load(group, nowNanos)));
            }
        }
        return zones.answer(asking, query, loads, nowNanos);
    }

    /**
     * Records the answer to a question.
     *
     * @param askedNanos when the question was sent
     */
    public void answered(Question question, RoomAnswer answer, long askedNanos, long nowNanos) {
        zones.answered(question.query(), answer, askedNanos, nowNanos);
    }

    private ZoneLoad load(ZoneOfService zone, long nowNanos) {
        return routing.groups().inZone(zone.service, zone.zone).stream()
                .flatMap(group -> coordinator.knownLoad(group, nowNanos).stream())
                .map(ZoneCoordination::toZoneLoad)
                .reduce(ZoneLoad.NONE, ZoneLoad::plus);
    }

    private Set<Host> coordinators(ZonePair pair) {
        Set<Host> coordinators = new LinkedHashSet<>();
        routing.groups()
                .inZone(pair.service(), pair.to())
                .forEach(group -> coordinators.add(routing.coordinator(group)));
        return coordinators;
    }

    private static ZoneLoad toZoneLoad(GroupLoad load) {
        return new ZoneLoad(load.slots(), load.online());
    }

    /** A zone, as far as it concerns a service. */
    private record ZoneOfService(String service, AvailabilityZone zone) {}
}
