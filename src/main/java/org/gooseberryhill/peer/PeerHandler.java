package org.gooseberryhill.peer;

import java.util.concurrent.CompletionStage;
import org.gooseberryhill.host.HostId;

/** Handles the messages of other processes; called on traffic threads. */
@FunctionalInterface
public interface PeerHandler {
    /** Returns the reply to a message; a failed stage is sent as {@link PeerMessage.Failed}. */
    CompletionStage<PeerMessage> handle(HostId from, PeerMessage message);
}
