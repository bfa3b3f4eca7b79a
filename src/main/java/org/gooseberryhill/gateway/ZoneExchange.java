package org.gooseberryhill.gateway;

import java.util.HashSet;
import java.util.List;
import java.util.Set;
import org.gooseberryhill.decision.coordination.ZoneCoordination;
import org.gooseberryhill.decision.zone.LeaveWhenItPays;
import org.gooseberryhill.decision.zone.SendingChange;
import org.gooseberryhill.host.Host;
import org.gooseberryhill.host.HostId;
import org.gooseberryhill.peer.CoordinationMessage;
import org.gooseberryhill.peer.PeerLane;
import org.gooseberryhill.peer.PeerMessage;
import org.gooseberryhill.timeline.EventKind;

/**
 * Asks the coordinators of other zones for room, answers them, and logs when this host starts and stops sending requests to
 * another zone. Confined to the control thread.
 *
 * <p>Invariant: hosts that do not understand the question are not asked, so that requests do not leave for their zone.
 */
final class ZoneExchange {
    /** A grant lasts half a second from the question, so a later answer is of no use. */
    private static final long ASK_TIMEOUT_MILLIS = 400;

    private final GatewayContext context;
    private final PeerLinks links;
    private final ZoneCoordination zones;
    private final LeaveWhenItPays policy;

    ZoneExchange(GatewayContext context, PeerLinks links, ZoneCoordination zones, LeaveWhenItPays policy) {
        this.context = context;
        this.links = links;
        this.zones = zones;
        this.policy = policy;
    }

    /** Asks the due questions. Called ten times a second, after the loads were sampled. */
    void tick() {
        List<ZoneCoordination.Question> due = zones.dueQuestions(context.nowNanos());
        if (!due.isEmpty()) {
            Set<Host> understanding = new HashSet<>(links.gatewaysWithZoneRoom());
            due.stream()
                    .filter(question -> isSelf(question.to()) || understanding.contains(question.to()))
                    .forEach(this::ask);
        }
        policy.takeChanges(context.nowNanos()).forEach(this::write);
    }

    /** Answers a coordinator of another zone. */
    PeerMessage answer(HostId from, CoordinationMessage.RoomRequest request) {
        return new CoordinationMessage.RoomReply(zones.answer(from, request.query(), context.nowNanos()));
    }

    private void ask(ZoneCoordination.Question question) {
        long askedNanos = context.nowNanos();
        if (isSelf(question.to())) {
            zones.answered(
                    question, zones.answer(question.to().id(), question.query(), askedNanos), askedNanos, askedNanos);
            return;
        }
        context.onLoop(
                context.peers()
                        .ask(
                                question.to().address(),
                                PeerLane.CONTROL,
                                new CoordinationMessage.RoomRequest(question.query()),
                                ASK_TIMEOUT_MILLIS),
                (reply, failure) -> {
                    if (reply instanceof CoordinationMessage.RoomReply answer) {
                        zones.answered(question, answer.answer(), askedNanos, context.nowNanos());
                    }
                });
    }

    private boolean isSelf(Host host) {
        return host.id().equals(context.settings().self().id());
    }

    private void write(SendingChange change) {
        context.timeline()
                .event(change.started() ? EventKind.ZONE_SENDING_STARTED : EventKind.ZONE_SENDING_ENDED)
                .with("service", change.service())
                .with("from", change.from().name())
                .with("to", change.to().name())
                .with("reason", change.reason())
                .with("waitMillis", change.waitMillis())
                .with("costMillis", change.costMillis())
                .with("requests", change.requests())
                .write();
    }
}
