package org.gooseberryhill.process;

import java.util.concurrent.CompletableFuture;
import org.gooseberryhill.host.HostId;
import org.gooseberryhill.peer.PeerMessage;

/** Handles the messages of a role; called on the control thread and must not block. */
@FunctionalInterface
public interface MessageHandler {
    /** Returns the reply to a message. */
    CompletableFuture<PeerMessage> handle(HostId from, PeerMessage message);

    /** Returns a completed future with a reply. */
    static CompletableFuture<PeerMessage> reply(PeerMessage message) {
        return CompletableFuture.completedFuture(message);
    }
}
