package org.gooseberryhill.gateway;

import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import org.gooseberryhill.host.HostId;
import org.gooseberryhill.peer.CoordinationMessage;
import org.gooseberryhill.peer.GatewayMessage;
import org.gooseberryhill.peer.PeerMessage;
import org.gooseberryhill.peer.QuarantineMessage;

/**
 * Handles messages of other gateways. They arrive on traffic threads and are processed on the control thread.
 *
 * <p>Invariant: the messages of a host take effect in the order of their arrival. Heartbeats and loads of
 * coordinators are answered at once and applied with the next message or tick, whichever is first.
 */
final class GatewayMessageHandler {
    private final GatewayContext context;
    private final HostHeartbeats heartbeats;
    private final SlotExchange slots;
    private final GatewayViews views;
    private final CrashTracking crashTracking;
    private final GatewayTraffic traffic;
    private final BatchMessageHandler batches;
    private final RelayingKeyValueStore store;

    /** Creates a handler that dispatches messages to the given objects. */
    GatewayMessageHandler(
            GatewayContext context,
            HostHeartbeats heartbeats,
            SlotExchange slots,
            GatewayViews views,
            CrashTracking crashTracking,
            GatewayTraffic traffic,
            BatchMessageHandler batches,
            RelayingKeyValueStore store) {
        this.context = context;
        this.heartbeats = heartbeats;
        this.slots = slots;
        this.views = views;
        this.crashTracking = crashTracking;
        this.traffic = traffic;
        this.batches = batches;
        this.store = store;
    }

    /** Handles a message and returns its reply; may be called from any thread. */
    CompletionStage<PeerMessage> handle(HostId from, PeerMessage message) {
        if (message instanceof GatewayMessage.HostHeartbeat heartbeat && !heartbeat.leaving()) {
            heartbeats.receive(from, heartbeat);
            return CompletableFuture.completedFuture(new PeerMessage.Ack());
        }
        if (message instanceof CoordinationMessage.GroupLoads loads) {
            slots.receiveLoads(from, loads);
            return CompletableFuture.completedFuture(new PeerMessage.Ack());
        }
        CompletableFuture<PeerMessage> reply = new CompletableFuture<>();
        context.loop().execute(() -> dispatch(from, message, reply));
        return reply;
    }

    private void dispatch(HostId from, PeerMessage message, CompletableFuture<PeerMessage> reply) {
        heartbeats.processReceived();
        slots.processReceivedLoads();
        heartbeats.recordMessage(from);
        if (message instanceof CoordinationMessage.PlacementRequest request) {
            reply.complete(slots.answer(from, request));
            return;
        }
        if (message instanceof CoordinationMessage.AdmissionRequest request) {
            reply.complete(slots.admissions().answer(request));
            return;
        }
        if (message instanceof CoordinationMessage.RoomRequest request) {
            reply.complete(slots.zones().answer(from, request));
            return;
        }
        if (message instanceof GatewayMessage.StreamOriginRequest request) {
            reply.complete(traffic.streamOrigins().answer(request));
            return;
        }
        if (message instanceof QuarantineMessage.PermitRequest request) {
            reply.complete(traffic.permits().answer(request));
            return;
        }
        if (message instanceof CoordinationMessage coordination) {
            slots.handle(from, coordination);
        } else if (message instanceof GatewayMessage.HostHeartbeat leaving) {
            heartbeats.receive(from, leaving);
            heartbeats.processReceived();
        } else if (message instanceof GatewayMessage.StreamOriginNotice notice) {
            traffic.streamOrigins().handle(notice);
        } else if (message instanceof QuarantineMessage.PermitReturned returned) {
            traffic.permits().onReturned(returned);
        } else if (message instanceof QuarantineMessage quarantine) {
            traffic.promptParts().handle(from, quarantine);
        } else if (message instanceof GatewayMessage.WatchEnd) {
            heartbeats.onWatchEnd(from);
        } else if (message instanceof GatewayMessage.SilenceNotice notice) {
            heartbeats.onSilenceNotice(from, notice);
        } else if (message instanceof GatewayMessage.ViewChanges changes) {
            views.onForwardedChanges(from, changes);
        } else if (message instanceof PeerMessage.CrashNotice notice) {
            crashTracking.onCrashNotice(notice);
        } else if (message instanceof PeerMessage.SuspectRelease release) {
            crashTracking.onSuspectRelease(release);
        } else if (batches.handle(from, message, reply)) {
            return;
        } else if (message instanceof GatewayMessage.StoreCall call) {
            store.callForPeer(call).thenAccept(reply::complete);
            return;
        } else if (message instanceof GatewayMessage.ViewRequest request) {
            reply.complete(views.listing(request.prefix())
                    .map(listing -> (PeerMessage) listing)
                    .orElseGet(PeerMessage.Ack::new));
            return;
        }
        reply.complete(new PeerMessage.Ack());
    }
}
