package org.gooseberryhill.gateway;

import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.function.Supplier;
import org.gooseberryhill.decision.requestbatch.RecordWrite;
import org.gooseberryhill.decision.requestbatch.WriteId;
import org.gooseberryhill.external.ExternalServiceException;
import org.gooseberryhill.external.KeyValueStore;
import org.gooseberryhill.stored.BatchStore;
import org.gooseberryhill.timeline.EventKind;

/**
 * Writes the record of a batch to the key-value store, as {@link RecordWrite} decides. Confined to the control thread.
 *
 * <p>Invariant: a write is repeated unchanged until its outcome is known, or the store refuses it as invalid.
 *
 * <p>Guards against a lost answer to a write that the store has performed: the caller of the batch would wait for the
 * full timeout of a store call. A write that is not answered soon is therefore sent a second time while the first is
 * still pending; the record's revision lets only one of them take effect.
 */
final class RecordWriter {
    /** Delay between attempts; outages are either longer or much shorter, and refused calls have a cost too. */
    private static final long RETRY_MILLIS = 250;

    /** Many times the usual answer time of the store, and a third of the shortest target latency of batches in use. */
    private static final long RESEND_AFTER_MILLIS = 150;

    private final GatewayContext context;
    private final BatchStore store;

    RecordWriter(GatewayContext context, BatchStore store) {
        this.context = context;
        this.store = store;
    }

    /**
     * Repeats a write until its outcome is known.
     *
     * @param writeId the id that the write stores with the record
     * @param write sends the write, with the same content each time
     */
    PendingWrite write(
            String id,
            WriteId writeId,
            Supplier<CompletableFuture<KeyValueStore.WriteResult>> write,
            WriteListener listener) {
        RunningWrite runningWrite = new RunningWrite(id, new RecordWrite(writeId), write, listener);
        runningWrite.send();
        return runningWrite;
    }

    /** Receives the outcome of a write. */
    interface WriteListener {
        /** The write took effect and produced the given revision. */
        void onWritten(long revision);

        /** Another process changed the record; the argument is empty if the record no longer exists. */
        void onSuperseded(Optional<BatchStore.StoredRecord> found);

        /** The key-value store refused the write as invalid; it had no effect and is not sent again. */
        void onRejected();
    }

    /** A write whose outcome is not known yet. */
    interface PendingWrite {
        /** Stops sending and reporting; returns whether the write may have taken effect or may still do so. */
        boolean abandon();
    }

    /** A write in progress. */
    private final class RunningWrite implements PendingWrite {
        private final String id;
        private final RecordWrite recordWrite;
        private final Supplier<CompletableFuture<KeyValueStore.WriteResult>> sendWrite;
        private final WriteListener listener;
        private int unansweredSends;
        private boolean mayTakeEffect;
        private boolean finished;

        RunningWrite(
                String id,
                RecordWrite recordWrite,
                Supplier<CompletableFuture<KeyValueStore.WriteResult>> sendWrite,
                WriteListener listener) {
            this.id = id;
            this.recordWrite = recordWrite;
            this.sendWrite = sendWrite;
            this.listener = listener;
        }

        @Override
        public boolean abandon() {
            finished = true;
            return mayTakeEffect || unansweredSends > 0;
        }

        void send() {
            if (finished) {
                return;
            }
            unansweredSends++;
            context.onLoop(sendWrite.get(), this::onAnswer);
            context.loop().after(RESEND_AFTER_MILLIS, this::resend);
        }

        private void resend() {
            if (!finished && unansweredSends == 1) {
                unansweredSends++;
                context.onLoop(sendWrite.get(), this::onAnswer);
            }
        }

        private void onAnswer(KeyValueStore.WriteResult answer, Throwable failure) {
            unansweredSends--;
            if (finished) {
                return;
            }
            if (failure != null) {
                onFailure(failure);
            } else if (recordWrite.written(answer.succeeded()) == RecordWrite.Step.DONE) {
                finished = true;
                listener.onWritten(answer.revision());
            } else {
                readRecord();
            }
        }

        private void onFailure(Throwable failure) {
            if (ExternalServiceException.kindOf(failure) == ExternalServiceException.Kind.REJECTED) {
                finished = true;
                context.timeline()
                        .event(EventKind.BATCH_WRITE_REJECTED)
                        .job(id)
                        .with("reason", String.valueOf(failure.getMessage()))
                        .write();
                listener.onRejected();
                return;
            }
            mayTakeEffect |= ExternalServiceException.kindOf(failure) != ExternalServiceException.Kind.NOT_DONE;
            context.timeline()
                    .event(EventKind.BATCH_WRITE_UNANSWERED)
                    .job(id)
                    .with("reason", String.valueOf(failure.getMessage()))
                    .with("others", unansweredSends)
                    .write();
            if (unansweredSends == 0) {
                scheduleRetry(recordWrite.writeUnanswered());
            }
        }

        private void readRecord() {
            context.onLoop(store.readRecord(id), (found, failure) -> {
                if (finished) {
                    return;
                }
                if (failure != null) {
                    scheduleRetry(recordWrite.readUnanswered());
                    return;
                }
                boolean tookEffect =
                        recordWrite.read(found.flatMap(BatchStore.StoredRecord::writeId)) == RecordWrite.Step.DONE;
                finished = true;
                logReadBack(tookEffect, found);
                if (tookEffect) {
                    listener.onWritten(found.orElseThrow().revision());
                } else {
                    listener.onSuperseded(found);
                }
            });
        }

        private void logReadBack(boolean tookEffect, Optional<BatchStore.StoredRecord> found) {
            context.timeline()
                    .event(EventKind.BATCH_WRITE_READ_BACK)
                    .job(id)
                    .with("tookEffect", tookEffect)
                    .with(
                            "revision",
                            found.map(BatchStore.StoredRecord::revision).orElse(0L))
                    .with("owner", found.map(stored -> stored.record().owner()).orElse(""))
                    .with(
                            "ownerStart",
                            found.map(stored -> stored.record().ownerStart()).orElse(""))
                    .with(
                            "listed",
                            found.map(stored -> stored.record().listed()).orElse(0))
                    .write();
        }

        private void scheduleRetry(RecordWrite.Step step) {
            context.loop().after(RETRY_MILLIS, step == RecordWrite.Step.WRITE ? this::send : this::retryRead);
        }

        private void retryRead() {
            if (!finished) {
                readRecord();
            }
        }
    }
}
