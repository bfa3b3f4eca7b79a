package org.gooseberryhill.gateway;

import java.util.concurrent.CompletableFuture;
import org.gooseberryhill.host.HostId;
import org.gooseberryhill.peer.GatewayMessage;
import org.gooseberryhill.peer.PeerMessage;

/** Handles messages of other gateways on request batches. Confined to the control thread. */
final class BatchMessageHandler {
    private final BatchRegistry registry;
    private final BatchApiHandler batchApiHandler;
    private final BatchEnder ender;
    private final BatchTakeover takeover;

    BatchMessageHandler(
            BatchRegistry registry, BatchApiHandler batchApiHandler, BatchEnder ender, BatchTakeover takeover) {
        this.registry = registry;
        this.batchApiHandler = batchApiHandler;
        this.ender = ender;
        this.takeover = takeover;
    }

    /** Handles a message and completes its reply, at once or later; returns false for a message on another subject. */
    boolean handle(HostId from, PeerMessage message, CompletableFuture<PeerMessage> reply) {
        if (message instanceof GatewayMessage.BatchNotice notice) {
            registry.setOwner(notice.batch(), from);
            reply.complete(new PeerMessage.Ack());
        } else if (message instanceof GatewayMessage.ResultsRequest request) {
            batchApiHandler.readOwnedResults(
                    request.batch(),
                    request.after(),
                    request.waitMillis(),
                    request.access(),
                    page -> reply.complete(new GatewayMessage.Results(page)));
        } else if (message instanceof GatewayMessage.ItemBodyRequest request) {
            boolean owned = registry.find(request.batch()).isPresent();
            reply.complete(new GatewayMessage.ItemBody(
                    owned, batchApiHandler.findOwnedItemBody(request.batch(), request.item(), request.access())));
        } else if (message instanceof GatewayMessage.BatchEndRequest request) {
            ender.endOwned(
                    request.batch(), request.access(), ended -> reply.complete(new GatewayMessage.BatchEnded(ended)));
        } else if (message instanceof GatewayMessage.BatchHandOver handedOver) {
            takeover.takeOver(handedOver, taken -> reply.complete(new GatewayMessage.BatchEnded(taken)));
        } else {
            return false;
        }
        return true;
    }
}
