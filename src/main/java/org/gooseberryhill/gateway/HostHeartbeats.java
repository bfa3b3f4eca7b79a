package org.gooseberryhill.gateway;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import org.gooseberryhill.decision.drain.PlannedStop;
import org.gooseberryhill.host.Host;
import org.gooseberryhill.host.HostId;
import org.gooseberryhill.peer.GatewayMessage;
import org.gooseberryhill.peer.PeerLane;
import org.gooseberryhill.peer.PeerMessage;
import org.gooseberryhill.timeline.EventKind;

/**
 * Exchanges signs of life with other gateways: each host reports to those that watch it, and watchers tell all others which
 * hosts have become silent. Confined to the control thread unless stated otherwise.
 */
final class HostHeartbeats {
    /** Notices are not confirmed, so a watcher repeats them while a host is silent. */
    private static final long NOTICE_PERIOD_NANOS = TimeUnit.MILLISECONDS.toNanos(5000);

    private final GatewayContext context;
    private final PeerLinks links;
    private final StoreReachability storeReachability;
    private final SlotExchange slots;
    private final HeartbeatInbox inbox = new HeartbeatInbox();
    private final Map<HostId, String> processStarts = new HashMap<>();
    private final Map<HostId, Long> noticedNanos = new HashMap<>();
    private List<Host> lastWatchers = List.of();
    private long sentCount;

    HostHeartbeats(GatewayContext context, PeerLinks links, StoreReachability storeReachability, SlotExchange slots) {
        this.context = context;
        this.links = links;
        this.storeReachability = storeReachability;
        this.slots = slots;
    }

    /**
     * Reports to the watchers of this host, and gives notice of silent hosts. Every other report asks for a reply, which shows
     * that the watcher is alive and that the connection to it delivers.
     */
    void send() {
        processReceived();
        PeerMessage heartbeat = heartbeat();
        List<Host> watchers = links.watchers();
        lastWatchers.stream()
                .filter(host -> !watchers.contains(host))
                .forEach(host -> context.peers().post(host.address(), PeerLane.CONTROL, new GatewayMessage.WatchEnd()));
        lastWatchers = watchers;
        sentCount++;
        if (sentCount % 2 == 0) {
            context.peers().postAll(watchers.stream().map(Host::address).toList(), PeerLane.CONTROL, heartbeat);
        } else {
            watchers.forEach(host -> links.ask(host, heartbeat).thenRun(() -> inbox.addAnswer(host.id())));
        }
        links.takeSilentHosts().forEach(this::hostSilent);
        giveNotice();
    }

    /** Tells all gateways that this host is stopping. */
    void announceLeaving() {
        links.broadcast(heartbeat());
    }

    /** Accepts the heartbeat of another host, which {@link #processReceived} applies; may be called from any thread. */
    void receive(HostId from, GatewayMessage.HostHeartbeat heartbeat) {
        inbox.addHeartbeat(from, heartbeat);
    }

    /** Applies the heartbeats and answers received since the last call. Called before any other message is handled. */
    void processReceived() {
        inbox.drain(this::onHeartbeat, links::recordAnswer);
    }

    private void onHeartbeat(HostId from, GatewayMessage.HostHeartbeat heartbeat) {
        links.recordMessage(from);
        links.recordReport(from, heartbeat);
        String earlierStart = processStarts.put(from, heartbeat.processStart());
        if (earlierStart != null && !earlierStart.equals(heartbeat.processStart())) {
            // What the earlier process of the host had in flight ended with it.
            slots.removeHost(from);
        }
    }

    /** Records a message of any kind from another host. */
    void recordMessage(HostId from) {
        links.recordMessage(from);
    }

    /** Records that a host reports to others from now on. */
    void onWatchEnd(HostId from) {
        links.recordWatchEnd(from);
    }

    /** Records which hosts another one does not hear. */
    void onSilenceNotice(HostId from, GatewayMessage.SilenceNotice notice) {
        notice.hosts().stream().filter(host -> links.recordSilence(from, host)).forEach(this::hostSilent);
    }

    private void hostSilent(HostId host) {
        slots.removeHost(host);
        context.timeline()
                .event(EventKind.PEER_SILENT)
                .with("host", host.value())
                .write();
    }

    private void giveNotice() {
        List<HostId> silent = links.silentHosts();
        noticedNanos.keySet().retainAll(silent);
        List<HostId> due = new ArrayList<>();
        for (HostId host : silent) {
            Long lastNanos = noticedNanos.get(host);
            if (lastNanos == null || context.nowNanos() - lastNanos >= NOTICE_PERIOD_NANOS) {
                noticedNanos.put(host, context.nowNanos());
                due.add(host);
            }
        }
        if (!due.isEmpty()) {
            links.broadcast(new GatewayMessage.SilenceNotice(due));
        }
    }

    private PeerMessage heartbeat() {
        boolean leaving = context.stop().phase() != PlannedStop.Phase.SERVING;
        return new GatewayMessage.HostHeartbeat(context.processStart(), leaving, storeReachability.isReachable());
    }
}
