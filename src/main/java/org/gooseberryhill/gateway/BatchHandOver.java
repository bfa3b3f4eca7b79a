package org.gooseberryhill.gateway;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import org.gooseberryhill.decision.ownership.Ownership;
import org.gooseberryhill.decision.requestbatch.OwnedBatch;
import org.gooseberryhill.host.Host;
import org.gooseberryhill.peer.GatewayMessage;
import org.gooseberryhill.peer.PeerMessage;
import org.gooseberryhill.timeline.EventKind;

/**
 * Gives the open batches of a host that stops to others, with what their items have generated so far. For the control
 * thread.
 *
 * <p>Failure: a host is stopped as planned, its batches wait until somebody finds them, and each item begins anew. Results
 * that wait for their commit are committed first; a batch that nobody takes stays, and is found as that of a lost host.
 */
final class BatchHandOver {
    /** Before a batch that nobody took is offered again. */
    private static final long OFFER_AGAIN_MILLIS = 100;

    private final GatewayContext context;
    private final PeerLinks links;
    private final BatchBoard board;
    private final BatchCommitter committer;
    private final Set<String> offered = new HashSet<>();

    BatchHandOver(GatewayContext context, PeerLinks links, BatchBoard board, BatchCommitter committer) {
        this.context = context;
        this.links = links;
        this.board = board;
        this.committer = committer;
    }

    /** Offers each open batch that has no write on its way; called again and again until the host has ended. */
    void advance() {
        for (OwnedBatch batch : board.batches()) {
            boolean settled = batch.isRecorded() && !committer.isWriting(batch.id()) && !batch.hasUncommitted();
            if (!batch.isFinished() && settled && !offered.contains(batch.id())) {
                offer(batch);
            }
        }
    }

    /** How many open batches this host still has. */
    int left() {
        return (int)
                board.batches().stream().filter(batch -> !batch.isFinished()).count();
    }

    private void offer(OwnedBatch batch) {
        List<Host> candidates = new ArrayList<>(links.staying());
        Optional<Host> chosen =
                Ownership.rank("batch/" + batch.id(), candidates).stream().findFirst();
        if (chosen.isEmpty()) {
            return;
        }
        offered.add(batch.id());
        PeerMessage handOver = new GatewayMessage.BatchHandOver(
                batch.id(), batch.recordRevision(), batch.record(), batch.checkpoints());
        context.onLoop(links.ask(chosen.get(), handOver), (reply, failure) -> {
            boolean taken = reply instanceof GatewayMessage.BatchEnded answer && answer.ended();
            context.timeline()
                    .event(EventKind.BATCH_HANDED_OVER)
                    .job(batch.id())
                    .with("to", chosen.get().id().value())
                    .with("taken", taken)
                    .write();
            if (!taken) {
                // Perhaps it stops as well, or has not heard of this host: a later look chooses among those that stay.
                context.loop().after(OFFER_AGAIN_MILLIS, () -> offered.remove(batch.id()));
            }
            if (taken) {
                board.drop(batch.id());
                board.ownedBy(batch.id(), chosen.get().id());
            }
        });
    }
}
