package org.gooseberryhill.process;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.function.BiConsumer;
import java.util.function.Supplier;
import org.gooseberryhill.decision.drain.PlannedStop;
import org.gooseberryhill.decision.membership.HostState;
import org.gooseberryhill.decision.membership.Membership;
import org.gooseberryhill.decision.membership.MembershipCommands;
import org.gooseberryhill.decision.membership.Rumor;
import org.gooseberryhill.host.Host;
import org.gooseberryhill.host.HostId;
import org.gooseberryhill.peer.PeerMessage;
import org.gooseberryhill.timeline.EventKind;

/** Exchanges the heartbeats of the membership over the peer protocol. Confined to the control thread. */
final class MembershipDriver implements MembershipCommands {
    private final HostProcess process;
    private final Map<HostId, HostState> lastStates = new HashMap<>();
    private final List<BiConsumer<HostId, Map<String, Long>>> workListeners = new ArrayList<>();
    private Supplier<Map<String, Long>> ownWork = Map::of;

    MembershipDriver(HostProcess process) {
        this.process = process;
    }

    /**
     * Sets the supplier of the waiting work that this host's heartbeats report: the earliest due time of its waiting items,
     * by service, in epoch milliseconds.
     */
    void setOwnWork(Supplier<Map<String, Long>> supplier) {
        ownWork = supplier;
    }

    /** Adds a listener that is called with the waiting work reported by heartbeats of other hosts. */
    void addWorkListener(BiConsumer<HostId, Map<String, Long>> listener) {
        workListeners.add(listener);
    }

    void tick() {
        process.membership().tick(process.loop().nowNanos(), this);
    }

    /** Tells all hosts immediately, by a heartbeat, that this one is leaving, so that they send it no new work. */
    void announceLeaving() {
        for (Host host : process.membership().presentHosts()) {
            process.send(host, heartbeat(process.membership().rumorsFor(host.id())));
        }
    }

    @Override
    public void probe(Host target, long incarnation, List<Rumor> rumors) {
        process.ask(target, heartbeat(rumors))
                .whenComplete((reply, failure) -> process.loop().execute(() -> {
                    if (reply instanceof PeerMessage.Heartbeat heartbeat) {
                        recordHeartbeat(target.id(), heartbeat);
                    }
                }));
    }

    @Override
    public void probeIndirectly(Host helper, Host target) {
        process.ask(helper, new PeerMessage.IndirectProbe(target.id()))
                .whenComplete((reply, failure) -> process.loop().execute(() -> {
                    if (reply instanceof PeerMessage.Ack) {
                        process.membership()
                                .recordIndirectReply(target.id(), process.loop().nowNanos());
                    }
                }));
    }

    Optional<CompletableFuture<PeerMessage>> handle(HostId from, PeerMessage message) {
        if (message instanceof PeerMessage.Heartbeat heartbeat) {
            recordHeartbeat(from, heartbeat);
            return Optional.of(
                    MessageHandler.reply(heartbeat(process.membership().rumorsFor(from))));
        }
        if (message instanceof PeerMessage.IndirectProbe probe) {
            return Optional.of(probeOnRequest(probe.target()));
        }
        return Optional.empty();
    }

    private CompletableFuture<PeerMessage> probeOnRequest(HostId target) {
        Optional<Host> host = process.membership().find(target);
        if (host.isEmpty()) {
            return MessageHandler.reply(new PeerMessage.Failed("not known: " + target));
        }
        return process.ask(host.get(), heartbeat(process.membership().rumorsFor(target)))
                .thenApply(reply -> new PeerMessage.Ack());
    }

    private void recordHeartbeat(HostId from, PeerMessage.Heartbeat heartbeat) {
        Membership membership = process.membership();
        membership.recordContact(
                from,
                heartbeat.incarnation(),
                heartbeat.leaving(),
                heartbeat.rumors(),
                process.loop().nowNanos());
        process.configuration().fetchIfNewer(from, heartbeat.configurationRevision());
        workListeners.forEach(listener -> listener.accept(from, heartbeat.earliestDueMillisByService()));
    }

    /** Records the hosts' state changes in the timeline. */
    void recordStateChanges() {
        process.membership().states().forEach((host, state) -> {
            HostState before = lastStates.put(host, state);
            if (before != null && before != state) {
                process.timeline()
                        .event(EventKind.MEMBERSHIP_CHANGED)
                        .with("host", host.value())
                        .with("state", state)
                        .write();
            }
        });
    }

    private PeerMessage.Heartbeat heartbeat(List<Rumor> rumors) {
        return new PeerMessage.Heartbeat(
                process.membership().incarnation(),
                process.plannedStop().phase() != PlannedStop.Phase.SERVING,
                process.configuration().revision(),
                rumors,
                ownWork.get());
    }
}
