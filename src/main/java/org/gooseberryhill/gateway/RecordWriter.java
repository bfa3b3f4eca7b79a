package org.gooseberryhill.gateway;

import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.function.Supplier;
import org.gooseberryhill.decision.requestbatch.BatchRecord;
import org.gooseberryhill.decision.requestbatch.RecordWrite;
import org.gooseberryhill.external.KeyValueStore;
import org.gooseberryhill.timeline.EventKind;

/** Carries a {@link RecordWrite} to the key-value store and back. Used by the control thread only. */
final class RecordWriter {
    /** Between tries: outages are longer or much shorter, and refused calls have their price. */
    private static final long RETRY_MILLIS = 250;

    private final GatewayContext context;
    private final BatchStore store;

    RecordWriter(GatewayContext context, BatchStore store) {
        this.context = context;
        this.store = store;
    }

    /**
     * Makes a write until it is known what became of it.
     *
     * @param write sends the write, the same each time
     */
    void write(
            String id,
            BatchRecord intended,
            Supplier<CompletableFuture<KeyValueStore.WriteResult>> write,
            Result result) {
        new Run(id, new RecordWrite(intended), write, result).send();
    }

    /** What became of a write. */
    interface Result {
        /** It has taken effect and made a revision. */
        void done(long revision);

        /** Another process has changed the record; empty if there is no record any more. */
        void superseded(Optional<BatchStore.Stored> found);
    }

    /** One write on its way. */
    private final class Run {
        private final String id;
        private final RecordWrite decision;
        private final Supplier<CompletableFuture<KeyValueStore.WriteResult>> write;
        private final Result result;

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

        void send() {
            context.onLoop(write.get(), (answer, failure) -> {
                if (failure != null) {
                    context.timeline()
                            .event(EventKind.BATCH_WRITE_UNANSWERED)
                            .job(id)
                            .with("reason", failure.getMessage())
                            .write();
                    again(decision.writeUnanswered());
                } else if (decision.written(answer.succeeded()) == RecordWrite.Step.DONE) {
                    result.done(answer.revision());
                } else {
                    read();
                }
            });
        }

        private void read() {
            context.onLoop(store.read(id), (found, failure) -> {
                if (failure != null) {
                    again(decision.readUnanswered());
                } else if (decision.read(found.map(BatchStore.Stored::record)) == RecordWrite.Step.DONE) {
                    result.done(found.orElseThrow().revision());
                } else {
                    result.superseded(found);
                }
            });
        }

        private void again(RecordWrite.Step step) {
            context.loop().after(RETRY_MILLIS, step == RecordWrite.Step.WRITE ? this::send : this::read);
        }
    }
}
