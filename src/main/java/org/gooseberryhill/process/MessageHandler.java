package org.gooseberryhill.process;

import java.util.concurrent.CompletableFuture;
import org.gooseberryhill.host.HostId;
import org.gooseberryhill.peer.PeerMessage;

/** Answers the messages that belong to a role; runs on the control thread and must not wait. */
@FunctionalInterface
public interface MessageHandler {
    /** The reply to a message. */
    CompletableFuture<PeerMessage> handle(HostId from, PeerMessage message);

    /** A reply that is there already. */
    static CompletableFuture<PeerMessage> reply(PeerMessage message) {
        return CompletableFuture.completedFuture(message);
    }
}
