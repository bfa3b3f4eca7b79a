package org.gooseberryhill.decision.replay;

import java.util.List;
import java.util.Optional;
import org.gooseberryhill.decision.coordination.GroupLoad;
import org.gooseberryhill.decision.coordination.GroupRouting;
import org.gooseberryhill.decision.coordination.SlotCoordinator;
import org.gooseberryhill.decision.coordination.ZoneCoordination;
import org.gooseberryhill.decision.zone.LeaveWhenItPays;
import org.gooseberryhill.decision.zone.RoomAnswer;
import org.gooseberryhill.decision.zone.ZonePolicy;
import org.gooseberryhill.host.HostId;

/** What the coordinator of a simulated host tells and asks the others ten times a second. */
final class ReplayLoadExchange {
    private final VirtualClock clock;
    private final ReplayNetwork network;
    private final HostId self;
    private final GroupRouting routing;
    private final SlotCoordinator coordinator;
    private final Optional<ZoneCoordination> zones;

    ReplayLoadExchange(
            VirtualClock clock,
            ReplayNetwork network,
            HostId self,
            GroupRouting routing,
            SlotCoordinator coordinator,
            ZonePolicy zonePolicy) {
        this.clock = clock;
        this.network = network;
        this.self = self;
        this.routing = routing;
        this.coordinator = coordinator;
        this.zones = zonePolicy instanceof LeaveWhenItPays pays
                ? Optional.of(new ZoneCoordination(routing, coordinator, pays))
                : Optional.empty();
    }

    /** Sends loads, questions to other zones, and the use of slots by account. */
    void send() {
        List<GroupLoad> sampled = coordinator.sampleLoads(routing::isCoordinator, clock.nowNanos());
        if (sampled.isEmpty()) {
            return;
        }
        routing.groups().all().stream()
                .filter(group -> !routing.isCoordinator(group))
                .forEach(group -> network.sendLoads(
                        self,
                        routing.coordinator(group).id(),
                        host -> host.loads().coordinator.groupLoads(sampled, clock.nowNanos())));
        zones.ifPresent(decision -> decision.dueQuestions(clock.nowNanos()).forEach(this::askForRoom));
        coordinator
                .shares()
                .report(clock.nowNanos())
                .ifPresent(report -> routing.coordinators().stream()
                        .filter(host -> !host.id().equals(self))
                        .forEach(to -> network.send(
                                self,
                                to.id(),
                                host -> host.loads().coordinator.shares().record(self, report, clock.nowNanos()))));
    }

    private void askForRoom(ZoneCoordination.Question question) {
        long askedNanos = clock.nowNanos();
        HostId to = question.to().id();
        network.send(self, to, host -> {
            RoomAnswer answer = host.loads().zones.orElseThrow().answer(self, question.query(), clock.nowNanos());
            network.send(
                    to, self, asking -> zones.orElseThrow().answered(question, answer, askedNanos, clock.nowNanos()));
        });
    }
}
