package org.gooseberryhill.gateway;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.Supplier;
import org.gooseberryhill.decision.ownership.Ownership;
import org.gooseberryhill.decision.requestbatch.BatchRecord;
import org.gooseberryhill.decision.requestbatch.OwnedBatch;
import org.gooseberryhill.host.Host;
import org.gooseberryhill.host.HostId;
import org.gooseberryhill.peer.PeerMessage;

/**
 * Takes over batches whose owner is lost. For the control thread.
 *
 * <p>Failure: an owner is killed or its host is lost, and its batches would never be finished. Each gateway looks through
 * the records now and then; those of an owner that is not among the live hosts go to the gateway that rendezvous hashing
 * names. Two that both try are told apart by the record's revision.
 */
final class BatchTakeover {
    private final GatewayContext context;
    private final PeerLinks links;
    private final BatchBoard board;
    private final BatchStore store;
    private final Supplier<Map<String, String>> liveStarts;
    private final Runnable onTaken;
    private final Set<String> taking = new HashSet<>();
    private boolean looking;

    /**
     * A takeover.
     *
     * @param liveStarts the live hosts with their processes' starts, this one included
     */
    BatchTakeover(
            GatewayContext context,
            PeerLinks links,
            BatchBoard board,
            BatchStore store,
            Supplier<Map<String, String>> liveStarts,
            Runnable onTaken) {
        this.context = context;
        this.links = links;
        this.board = board;
        this.store = store;
        this.liveStarts = liveStarts;
        this.onTaken = onTaken;
    }

    /** Looks through the records; one look at a time. */
    void look(boolean mayBeStale) {
        if (looking) {
            return;
        }
        looking = true;
        context.onLoop(store.list(mayBeStale), (records, failure) -> {
            looking = false;
            if (failure == null) {
                records.forEach(this::consider);
            }
        });
    }

    private void consider(BatchStore.Stored found) {
        BatchRecord record = found.record();
        if (record.isFinished() || board.find(found.id()).isPresent() || taking.contains(found.id())) {
            return;
        }
        String self = context.settings().self().id().value();
        Map<String, String> live = liveStarts.get();
        boolean ownerLives = record.ownerStart().equals(live.get(record.owner()));
        if (ownerLives && !record.owner().equals(self)) {
            links.find(new HostId(record.owner())).ifPresent(host -> board.ownedBy(found.id(), host.id()));
            return;
        }
        boolean ownEarlier = record.owner().equals(self);
        if (ownEarlier || isChosen(found.id())) {
            take(found);
        }
    }

    private boolean isChosen(String batch) {
        List<Host> gateways = new ArrayList<>(links.gateways());
        gateways.add(context.settings().self());
        Optional<Host> first =
                Ownership.rank("batch/" + batch, gateways).stream().findFirst();
        return first.map(host -> host.id().equals(context.settings().self().id()))
                .orElse(false);
    }

    /** The record as listed may be stale; the write under its revision finds that out. */
    private void take(BatchStore.Stored found) {
        taking.add(found.id());
        BatchRecord own = found.record().ownedBy(context.settings().self().id().value(), context.processStart());
        context.onLoop(store.replace(found.id(), found.revision(), own), (result, failure) -> {
            if (failure != null || !result.succeeded()) {
                // Another took it, or the answer was lost: the next look tells.
                taking.remove(found.id());
                return;
            }
            load(found.id(), own, result.revision());
        });
    }

    private void load(String id, BatchRecord record, long revision) {
        context.onLoop(
                store.items(id, record)
                        .thenCombine(
                                store.results(id, record, 0, record.chunks().size()),
                                (items, results) -> new OwnedBatch(id, record, revision, items, results)),
                (batch, failure) -> {
                    taking.remove(id);
                    if (failure != null) {
                        context.log()
                                .record(
                                        "batch.load-failed",
                                        "batch",
                                        id,
                                        "reason",
                                        String.valueOf(failure.getMessage()));
                        return;
                    }
                    board.add(batch);
                    context.log()
                            .record(
                                    "batch.taken-over",
                                    "batch",
                                    id,
                                    "listed",
                                    record.listed(),
                                    "items",
                                    record.items());
                    links.tellAll(new PeerMessage.BatchNotice(id));
                    onTaken.run();
                });
    }
}
