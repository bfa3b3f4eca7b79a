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
 * Hands the open batches of a stopping host over to other hosts, with the output that their items have generated so
 * far. Confined to the control thread.
 *
 * <p>Guards against batches that are delayed by the planned stop of their host: without a hand-over they would wait
 * until another host finds them, and each item would start from the beginning. Pending results are committed before the
 * hand-over. A batch that no host accepts stays here, and is later taken over like a batch of a lost host.
 */
final class BatchHandOver {
    /** Delay before a batch that the chosen host did not accept is offered again. */
    private static final long OFFER_RETRY_MILLIS = 100;

    /** Maximum number of bytes of output that one message passes on; well below the limit of a message. */
    private static final int MAX_PROGRESS_BYTES = 8 * 1024 * 1024;

    private final GatewayContext context;
    private final PeerLinks links;
    private final BatchRegistry registry;
    private final BatchCommitter committer;
    private final Set<String> offered = new HashSet<>();

    BatchHandOver(GatewayContext context, PeerLinks links, BatchRegistry registry, BatchCommitter committer) {
        this.context = context;
        this.links = links;
        this.registry = registry;
        this.committer = committer;
    }

    /**
     * Offers each open batch that is recorded, has no write in flight and no uncommitted results. Called repeatedly
     * until the host has ended.
     */
    void offerBatches() {
        for (OwnedBatch batch : registry.batches()) {
            boolean settled = batch.isRecorded() && !committer.hasWriteInFlight(batch) && !batch.hasUncommitted();
            if (!batch.isFinished() && settled && !offered.contains(batch.id())) {
                offer(batch);
            }
        }
    }

    /** Returns how many open batches this host still has. */
    int openBatchCount() {
        return (int)
                registry.batches().stream().filter(batch -> !batch.isFinished()).count();
    }

    private void offer(OwnedBatch batch) {
        List<Host> candidates = new ArrayList<>(links.activeGateways());
        Optional<Host> chosen =
                Ownership.rank("batch/" + batch.id(), candidates).stream().findFirst();
        if (chosen.isEmpty()) {
            return;
        }
        offered.add(batch.id());
        PeerMessage handOver = new GatewayMessage.BatchHandOver(
                batch.id(), batch.recordRevision(), batch.record(), batch.checkpoints(MAX_PROGRESS_BYTES));
        context.onLoop(links.ask(chosen.get(), handOver), (reply, failure) -> {
            boolean accepted = reply instanceof GatewayMessage.BatchEnded answer && answer.ended();
            context.timeline()
                    .event(EventKind.BATCH_HANDED_OVER)
                    .job(batch.id())
                    .with("to", chosen.get().id().value())
                    .with("taken", accepted)
                    .write();
            if (!accepted) {
                // The chosen host may be stopping as well, or may not know this host yet. The retry chooses among the
                // hosts that are not stopping by then.
                context.loop().after(OFFER_RETRY_MILLIS, () -> offered.remove(batch.id()));
            }
            if (accepted) {
                registry.remove(batch);
                registry.setOwner(batch.id(), chosen.get().id());
            }
        });
    }
}
