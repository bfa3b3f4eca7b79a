package org.gooseberryhill.peer;

import java.util.concurrent.CompletionStage;
import org.gooseberryhill.host.HostId;

/** Answers what other processes say; called by traffic threads. */
@FunctionalInterface
public interface PeerHandler {
    /** The reply to a message; a failed stage is sent as {@link PeerMessage.Failed}. */
    CompletionStage<PeerMessage> handle(HostId from, PeerMessage message);
}
