package org.gooseberryhill.gateway;

import java.util.Queue;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.function.BiConsumer;
import java.util.function.Consumer;
import org.gooseberryhill.host.HostId;
import org.gooseberryhill.peer.GatewayMessage;

/**
 * Holds received heartbeats, and which hosts answered this one's, until the control thread processes them. Thread-safe; one
 * thread drains it.
 *
 * <p>Load pattern: each host of a large fleet receives some dozen heartbeats and answers a second. A wake-up of the control
 * thread for each of them costs more than handling it.
 *
 * <p>Invariant: what was received first is processed first.
 */
final class HeartbeatInbox {
    private final Queue<Received> received = new ConcurrentLinkedQueue<>();
    private final Queue<HostId> answeredHosts = new ConcurrentLinkedQueue<>();

    /** Adds the heartbeat of a host. */
    void addHeartbeat(HostId from, GatewayMessage.HostHeartbeat heartbeat) {
        received.add(new Received(from, heartbeat));
    }

    /** Adds that a host answered a heartbeat of this one. */
    void addAnswer(HostId from) {
        answeredHosts.add(from);
    }

    /** Removes all that was added and passes it on, heartbeats first. */
    void drain(BiConsumer<HostId, GatewayMessage.HostHeartbeat> onHeartbeat, Consumer<HostId> onAnswer) {
        Received next = received.poll();
        while (next != null) {
            onHeartbeat.accept(next.from, next.heartbeat);
            next = received.poll();
        }
        HostId answered = answeredHosts.poll();
        while (answered != null) {
            onAnswer.accept(answered);
            answered = answeredHosts.poll();
        }
    }

    /** A heartbeat and its sender. */
    private record Received(HostId from, GatewayMessage.HostHeartbeat heartbeat) {}
}
