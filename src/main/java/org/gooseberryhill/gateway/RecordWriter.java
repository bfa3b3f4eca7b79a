package org.gooseberryhill.gateway;

import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.function.Supplier;
import org.gooseberryhill.decision.requestbatch.BatchRecord;
import org.gooseberryhill.decision.requestbatch.RecordWrite;
import org.gooseberryhill.external.ExternalServiceException;
import org.gooseberryhill.external.KeyValueStore;
import org.gooseberryhill.stored.BatchStore;
import org.gooseberryhill.timeline.EventKind;

/**
 * Executes a {@link RecordWrite} against the key-value store. Confined to the control thread.
 *
 * <p>Failure: the store performs a write but its answer is lost, and the caller of a batch waits for the full timeout
 * of a store call. A write that is not answered soon is therefore sent a second time while the first is still pending;
 * the record's revision lets only one of them take effect.
 */
final class RecordWriter {
    /** Delay between attempts; outages are either longer or much shorter, and refused calls have a cost too. */
    private static final long RETRY_MILLIS = 250;

    /** Many times the usual answer time of the store, and a third of the shortest target latency of batches in use. */
    private static final long SEND_AGAIN_MILLIS = 150;

    private final GatewayContext context;
    private final BatchStore store;

    RecordWriter(GatewayContext context, BatchStore store) {
        this.context = context;
        this.store = store;
    }

    /**
     * Repeats a write until its outcome is known.
     *
     * @param write sends the write, with the same content each time
     */
    Pending write(
            String id,
            BatchRecord intended,
            Supplier<CompletableFuture<KeyValueStore.WriteResult>> write,
            Result result) {
        Run run = new Run(id, new RecordWrite(intended), write, result);
        run.send();
        return run;
    }

    /** Receives the outcome of a write. */
    interface Result {
        /** The write took effect and produced the given revision. */
        void done(long revision);

        /** Another process changed the record; the argument is empty if the record no longer exists. */
        void superseded(Optional<BatchStore.Stored> found);
    }

    /** A write whose outcome is not known yet. */
    interface Pending {
        /** Stops sending and reporting; returns whether the write may have taken effect or may still do so. */
        boolean abandon();
    }

    /** A write in progress. */
    private final class Run implements Pending {
        private final String id;
        private final RecordWrite decision;
        private final Supplier<CompletableFuture<KeyValueStore.WriteResult>> write;
        private final Result result;
        private int unanswered;
        private boolean mayTakeEffect;
        private boolean over;

        Run(
                String id,
                RecordWrite decision,
                Supplier<CompletableFuture<KeyValueStore.WriteResult>> write,
                Result result) {
            this.id = id;
            this.decision = decision;
            this.write = write;
            this.result = result;
        }

        @Override
        public boolean abandon() {
            over = true;
            return mayTakeEffect || unanswered > 0;
        }

        void send() {
            if (over) {
                return;
            }
            unanswered++;
            context.onLoop(write.get(), this::answered);
            context.loop().after(SEND_AGAIN_MILLIS, this::sendAgain);
        }

        private void sendAgain() {
            if (!over && unanswered == 1) {
                unanswered++;
                context.onLoop(write.get(), this::answered);
            }
        }

        private void answered(KeyValueStore.WriteResult answer, Throwable failure) {
            unanswered--;
            if (over) {
                return;
            }
            if (failure != null) {
                failed(failure);
            } else if (decision.written(answer.succeeded()) == RecordWrite.Step.DONE) {
                over = true;
                result.done(answer.revision());
            } else {
                read();
            }
        }

        private void failed(Throwable failure) {
            mayTakeEffect |= ExternalServiceException.kindOf(failure) != ExternalServiceException.Kind.NOT_DONE;
            context.timeline()
                    .event(EventKind.BATCH_WRITE_UNANSWERED)
                    .job(id)
                    .with("reason", String.valueOf(failure.getMessage()))
                    .with("others", unanswered)
                    .write();
            if (unanswered == 0) {
                again(decision.writeUnanswered());
            }
        }

        private void read() {
            context.onLoop(store.read(id), (found, failure) -> {
                if (over) {
                    return;
                }
                if (failure != null) {
                    again(decision.readUnanswered());
                } else if (decision.read(found.map(BatchStore.Stored::record)) == RecordWrite.Step.DONE) {
                    over = true;
                    result.done(found.orElseThrow().revision());
                } else {
                    over = true;
                    result.superseded(found);
                }
            });
        }

        private void again(RecordWrite.Step step) {
            context.loop().after(RETRY_MILLIS, step == RecordWrite.Step.WRITE ? this::send : this::readAgain);
        }

        private void readAgain() {
            if (!over) {
                read();
            }
        }
    }
}
