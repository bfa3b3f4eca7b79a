package org.gooseberryhill.decision.zone;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import org.gooseberryhill.directory.EndpointGroup;
import org.gooseberryhill.directory.EndpointGroups;
import org.gooseberryhill.host.HostId;
import org.gooseberryhill.zone.AvailabilityZone;

/**
 * Sends a request to another zone if it would wait in its own zone for longer than the crossing costs, and only as many
 * requests as the other zone has granted room for. Not thread-safe.
 *
 * <p>Load pattern: zones differ in demand and in endpoints, and the load of each swings between two fifths and twice its mean
 * within seconds. Traffic between zones is slower and costs money, while most of the time each zone has enough endpoints.
 *
 * <p>Applies to services whose groups follow the zones; requests of others are sent as by {@link AnyZone}. A coordinator
 * whose zone may soon be full asks the coordinators of the other zones ten times a second. A zone that is clearly less full
 * grants the room that it has beyond the fluctuation of its own load, divided by the number of hosts that ask, so that it does
 * not become fuller than the zone that sends. {@link RoomGrants} describes why two zones do not send to each other.
 * Without grants, as when messages are lost, requests stay in their zone.
 */
public final class LeaveWhenItPays implements ZonePolicy {
    /** The load of a zone is sampled ten times a second. */
    private static final long MAX_SAMPLE_AGE_NANOS = TimeUnit.MILLISECONDS.toNanos(250);

    /** Zones whose costs differ by less are equally near; measured round trips vary by about as much. */
    private static final double EQUAL_COST_MILLIS = 2;

    private final AnyZone anyZone = new AnyZone();
    private final RoomGrants grants = new RoomGrants();
    private final SendingLog log = new SendingLog();
    private final Map<ZoneOfService, Sample> samples = new HashMap<>();
    private final CrossingCost cost;

    /** Creates a policy without grants. */
    public LeaveWhenItPays(CrossingCost cost) {
        this.cost = cost;
    }

    @Override
    public Optional<EndpointGroup> chooseGroup(FullGroup full, RoomFinder room, long nowNanos) {
        Optional<AvailabilityZone> zone = full.groups().zoneOf(full.group());
        if (zone.isEmpty()) {
            return anyZone.chooseGroup(full, room, nowNanos);
        }
        Optional<EndpointGroup> near =
                room.take(full.groups().inZone(full.group().service(), zone.get()));
        return near.isPresent() ? near : leave(full, zone.get(), nowNanos);
    }

    /**
     * Records the load of a zone whose groups this host coordinates, and returns the questions that are due: one for each
     * other zone while the zone may soon have no room. Called ten times a second.
     */
    public List<RoomQuery> sample(
            EndpointGroups groups, String service, AvailabilityZone zone, ZoneLoad load, long nowNanos) {
        samples.put(new ZoneOfService(service, zone), new Sample(load, nowNanos));
        if (!load.isTight()) {
            return List.of();
        }
        return otherZones(groups, service, zone).stream()
                .map(other -> new RoomQuery(new ZonePair(service, zone, other), load))
                .toList();
    }

    /**
     * Answers the coordinator of another zone.
     *
     * @param loads the loads of the groups of the zone that is asked, as far as this host coordinates them
     */
    public RoomAnswer answer(HostId asking, RoomQuery query, Map<EndpointGroup, ZoneLoad> loads, long nowNanos) {
        ZonePair pair = query.pair();
        Sample sample = samples.get(new ZoneOfService(pair.service(), pair.to()));
        boolean known = sample != null && nowNanos - sample.nanos < MAX_SAMPLE_AGE_NANOS;
        if (loads.isEmpty() || !known || !sample.load.isClearlyBelow(query.load()) || !grants.mayGive(pair, nowNanos)) {
            return RoomAnswer.DENIED;
        }
        grants.given(pair, nowNanos);
        List<GroupRoom> rooms = new ArrayList<>();
        loads.forEach((group, load) -> rooms.add(
                new GroupRoom(group, (int) Math.ceil((double) load.room() / grants.askers(group, asking, nowNanos)))));
        return new RoomAnswer(true, rooms);
    }

    /**
     * Records the answer to a question of this host.
     *
     * @param askedNanos when the question was sent
     */
    public void answered(RoomQuery query, RoomAnswer answer, long askedNanos, long nowNanos) {
        cost.record(query.pair().to(), nowNanos - askedNanos);
        grants.answered(query.pair(), answer, askedNanos);
    }

    /** Returns and clears the starts and ends of sending to other zones since the last call. */
    public List<SendingChange> takeChanges(long nowNanos) {
        return log.takeChanges(nowNanos);
    }

    /** Drops the state of groups that are not in the directory any more. */
    public void retain(EndpointGroups groups) {
        grants.retain(Set.copyOf(groups.all()));
    }

    private Optional<EndpointGroup> leave(FullGroup full, AvailabilityZone from, long nowNanos) {
        EndpointGroups groups = full.groups();
        String service = full.group().service();
        List<Option> options = new ArrayList<>();
        for (AvailabilityZone to : otherZones(groups, service, from)) {
            ZonePair pair = new ZonePair(service, from, to);
            double costMillis = cost.millis(to);
            if (costMillis < full.waitMillis()) {
                grants.find(pair, groups.inZone(service, to), nowNanos)
                        .ifPresent(group ->
                                options.add(new Option(pair, group, grants.requests(pair, group), costMillis)));
            }
        }
        double cheapestMillis =
                options.stream().mapToDouble(Option::costMillis).min().orElse(0);
        Optional<Option> best = options.stream()
                .filter(option -> option.costMillis <= cheapestMillis + EQUAL_COST_MILLIS)
                .max(Comparator.comparingInt(Option::requests));
        best.ifPresent(option -> {
            grants.sent(option.pair, option.group, nowNanos);
            LeaveReason reason = full.isUsable() ? LeaveReason.WAIT_EXCEEDS_COST : LeaveReason.NO_USABLE_ENDPOINT;
            log.sent(option.pair, reason, full.waitMillis(), option.costMillis, nowNanos);
        });
        return best.map(Option::group);
    }

    private static Set<AvailabilityZone> otherZones(EndpointGroups groups, String service, AvailabilityZone zone) {
        Set<AvailabilityZone> others = new LinkedHashSet<>();
        groups.of(service).forEach(group -> groups.zoneOf(group).ifPresent(others::add));
        others.remove(zone);
        return others;
    }

    /** A zone, as far as it concerns a service. */
    private record ZoneOfService(String service, AvailabilityZone zone) {}

    /** A load and when it was sampled. */
    private record Sample(ZoneLoad load, long nanos) {}

    /** A group of another zone that takes a request. */
    private record Option(ZonePair pair, EndpointGroup group, int requests, double costMillis) {}
}
