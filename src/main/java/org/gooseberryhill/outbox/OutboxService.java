package org.gooseberryhill.outbox;

import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import java.util.concurrent.TimeUnit;
import java.util.function.BiConsumer;
import org.gooseberryhill.control.ControlLoop;
import org.gooseberryhill.decision.requestbatch.OutboxTiming;
import org.gooseberryhill.external.ExternalServiceException;
import org.gooseberryhill.external.KeyValueStore;
import org.gooseberryhill.peer.OutboxMessage;
import org.gooseberryhill.peer.PeerMessage;
import org.gooseberryhill.stored.BatchStore;
import org.gooseberryhill.timeline.EventKind;
import org.gooseberryhill.timeline.Timeline;

/**
 * Stores submissions for gateways, and creates the batch records that no gateway has created. Confined to the control
 * thread unless stated otherwise.
 *
 * <p>Invariant: a submission is deleted from the disk only when the key-value store has a record of its batch, when its
 * gateway says that it was not accepted ({@link OutboxMessage.Drop}), or when it is so old that its batch may have been
 * finished and deleted.
 */
final class OutboxService {
    /** How long a host that is being evacuated accepts no submissions after each {@link OutboxMessage.StateRequest}. */
    private static final long EVACUATION_NANOS = TimeUnit.SECONDS.toNanos(30);

    private final ControlLoop loop;
    private final Timeline timeline;
    private final Outbox outbox;
    private final BatchStore store;
    private final OutboxTiming timing;
    private final Map<String, String> batchIdsByName = new LinkedHashMap<>();
    private OptionalLong evacuationRequestedNanos = OptionalLong.empty();

    OutboxService(ControlLoop loop, Timeline timeline, Outbox outbox, BatchStore store, OutboxTiming timing) {
        this.loop = loop;
        this.timeline = timeline;
        this.outbox = outbox;
        this.store = store;
        this.timing = timing;
    }

    /** Loads the submissions on the disk, then runs the action, also if the disk failed. */
    void start(Runnable onLoaded) {
        onLoop(outbox.readAll(), (entries, failure) -> {
            if (failure != null) {
                logDiskFailure("", failure);
            } else {
                entries.forEach(this::register);
            }
            onLoaded.run();
        });
    }

    /** Returns the number of stored submissions. */
    int submissionCount() {
        return batchIdsByName.size();
    }

    /** Handles a message and returns the reply. May be called from any thread. */
    CompletionStage<PeerMessage> handle(PeerMessage message) {
        CompletableFuture<PeerMessage> reply = new CompletableFuture<>();
        loop.execute(() -> dispatch(message, reply));
        return reply;
    }

    /** Creates the records that are due. Called periodically. */
    void tick() {
        long nowNanos = loop.nowNanos();
        for (String name : List.copyOf(batchIdsByName.keySet())) {
            if (timing.beginAttemptIfDue(name, nowNanos)) {
                onLoop(outbox.read(name), (entry, failure) -> createRecord(name, entry, failure));
            }
        }
    }

    private void dispatch(PeerMessage message, CompletableFuture<PeerMessage> reply) {
        if (message instanceof OutboxMessage.Put put) {
            put(put, reply);
        } else if (message instanceof OutboxMessage.Drop drop) {
            delete(OutboxEntry.nameOf(drop.batch(), drop.record()));
            reply.complete(new PeerMessage.Ack());
        } else if (message instanceof OutboxMessage.StateRequest) {
            evacuationRequestedNanos = OptionalLong.of(loop.nowNanos());
            batchIdsByName.keySet().forEach(name -> timing.makeDueNow(name, loop.nowNanos()));
            reply.complete(new OutboxMessage.State(submissionCount()));
        } else {
            reply.complete(new PeerMessage.Ack());
        }
    }

    private void put(OutboxMessage.Put put, CompletableFuture<PeerMessage> reply) {
        if (isEvacuating()) {
            reply.complete(new OutboxMessage.Stored(false));
            return;
        }
        OutboxEntry entry = new OutboxEntry(put.batch(), put.record(), put.body(), System.currentTimeMillis());
        onLoop(outbox.put(entry), (done, failure) -> {
            if (failure != null) {
                logDiskFailure(put.batch(), failure);
                reply.complete(new OutboxMessage.Stored(false));
                return;
            }
            register(entry);
            reply.complete(new OutboxMessage.Stored(true));
            timeline.event(EventKind.SUBMISSION_KEPT)
                    .job(put.batch())
                    .with("bytes", put.body().length)
                    .with("submissions", submissionCount())
                    .write();
        });
    }

    private void register(OutboxEntry entry) {
        batchIdsByName.put(entry.name(), entry.batch());
        timing.copyAdded(entry.name(), loop.nowNanos());
    }

    private void delete(String name) {
        batchIdsByName.remove(name);
        timing.copyRemoved(name);
        onLoop(outbox.delete(name), (done, failure) -> {
            if (failure != null) {
                logDiskFailure("", failure);
            }
        });
    }

    private void createRecord(String name, Optional<OutboxEntry> entry, Throwable failure) {
        if (failure != null) {
            logDiskFailure(batchIdsByName.getOrDefault(name, ""), failure);
            return;
        }
        if (entry.isEmpty()) {
            // The submission was deleted in the meantime, or its file is damaged and other hosts hold the copies.
            batchIdsByName.remove(name);
            timing.copyRemoved(name);
            return;
        }
        OutboxEntry submission = entry.get();
        long ageMillis = System.currentTimeMillis() - submission.storedAtMillis();
        if (timing.isExpired(ageMillis)) {
            timeline.event(EventKind.SUBMISSION_EXPIRED)
                    .job(submission.batch())
                    .with("keptMillis", ageMillis)
                    .write();
            delete(name);
            return;
        }
        onLoop(
                store.create(submission.batch(), submission.record(), submission.body(), store.newWriteId()),
                (result, createFailure) -> onCreateResult(submission, result, createFailure));
    }

    private void onCreateResult(OutboxEntry submission, KeyValueStore.WriteResult result, Throwable failure) {
        if (failure != null) {
            boolean rejected = ExternalServiceException.kindOf(failure) == ExternalServiceException.Kind.REJECTED;
            timeline.event(rejected ? EventKind.BATCH_WRITE_REJECTED : EventKind.BATCH_WRITE_UNANSWERED)
                    .job(submission.batch())
                    .with("reason", String.valueOf(failure.getMessage()))
                    .write();
            if (rejected) {
                timing.attemptRejected(submission.name(), loop.nowNanos());
            }
            return;
        }
        timeline.event(EventKind.SUBMISSION_RECORDED)
                .job(submission.batch())
                .with("created", result.succeeded())
                .with("keptMillis", System.currentTimeMillis() - submission.storedAtMillis())
                .write();
        delete(submission.name());
    }

    private boolean isEvacuating() {
        return evacuationRequestedNanos.isPresent()
                && loop.nowNanos() - evacuationRequestedNanos.getAsLong() < EVACUATION_NANOS;
    }

    private void logDiskFailure(String batch, Throwable failure) {
        timeline.event(EventKind.DISK_FAILED)
                .job(batch)
                .with("reason", String.valueOf(failure))
                .write();
    }

    private <T> void onLoop(CompletableFuture<T> future, BiConsumer<T, Throwable> completion) {
        future.whenComplete((result, failure) -> loop.execute(() -> completion.accept(result, failure)));
    }
}
