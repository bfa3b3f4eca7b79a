package org.gooseberryhill.gateway;

import java.util.List;
import org.gooseberryhill.decision.ownership.Ownership;
import org.gooseberryhill.decision.requestbatch.BatchRecord;
import org.gooseberryhill.host.Host;
import org.gooseberryhill.peer.OutboxMessage;
import org.gooseberryhill.peer.PeerLane;

/**
 * Stores copies of submissions on hosts with a disk while the key-value store does not answer. Confined to the control
 * thread.
 */
final class SubmissionCopies {
    /** One copy more than needed: a host may be lost without the loss having been detected yet. */
    private static final int SPARE_COPIES = 1;

    /** Allows for several disk syncs, and is shorter than a caller waits. */
    private static final long STORE_COPY_TIMEOUT_MILLIS = 1000;

    private final GatewayContext context;
    private final PeerLinks links;

    SubmissionCopies(GatewayContext context, PeerLinks links) {
        this.context = context;
        this.links = links;
    }

    /** Returns how many hosts can keep copies. */
    int hostCount() {
        return links.diskHosts().size();
    }

    /** Requests copies; the action runs for each copy that is on a disk. */
    void requestCopies(String batch, BatchRecord record, byte[] body, Runnable onStored) {
        OutboxMessage.Put put = new OutboxMessage.Put(batch, record, body);
        for (Host host : copyHosts(batch)) {
            context.onLoop(links.ask(host, put, STORE_COPY_TIMEOUT_MILLIS), (reply, failure) -> {
                if (reply instanceof OutboxMessage.Stored answer && answer.stored()) {
                    onStored.run();
                }
            });
        }
    }

    /**
     * Tells the hosts to drop their copies; a host that misses the message finds out when it tries to create the
     * record.
     */
    void dropCopies(String batch, BatchRecord record) {
        OutboxMessage.Drop drop = new OutboxMessage.Drop(batch, record);
        copyHosts(batch).forEach(host -> context.peers().post(host.address(), PeerLane.CONTROL, drop));
    }

    private List<Host> copyHosts(String batch) {
        return Ownership.copyHolders(
                "outbox/" + batch, context.settings().submissionCopies() + SPARE_COPIES, links.diskHosts());
    }
}
