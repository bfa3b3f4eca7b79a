package org.gooseberryhill.gateway;

import io.vavr.control.Try;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import org.gooseberryhill.decision.promptpart.BlockChange;
import org.gooseberryhill.decision.promptpart.PromptPartQuarantine;
import org.gooseberryhill.decision.promptpart.QuarantineRecord;
import org.gooseberryhill.external.KeyChange;
import org.gooseberryhill.external.KeyValueStore;
import org.gooseberryhill.external.Transaction;
import org.gooseberryhill.stored.QuarantineRecordCodec;
import org.gooseberryhill.stored.StoredKeys;
import org.gooseberryhill.timeline.EventKind;

/**
 * Keeps the record of blocked parts of prompts in the key-value store, from which hosts learn that start or were cut off. Confined to
 * the control thread.
 *
 * <p>Invariant: a write takes effect only on the record that the host knows. The responsible host writes at once; any other writes
 * once the record has been wrong for a while, since it may know of a block that the responsible host has missed.
 */
final class QuarantineRecordWriter {
    private static final long RETRY_DELAY_NANOS = TimeUnit.MILLISECONDS.toNanos(500);

    /** Time after which a host writes that is not responsible. */
    private static final long OTHERS_DELAY_NANOS = TimeUnit.MILLISECONDS.toNanos(1500);

    private static final String RESPONSIBILITY = "quarantine";

    private final GatewayContext context;
    private final PeerLinks links;
    private final PromptPartQuarantine quarantine;
    private final Consumer<BlockChange> onChange;
    private QuarantineRecord known = QuarantineRecord.EMPTY;
    private long knownRevision;
    private long expectedRevision;
    private long notBeforeNanos;
    private boolean differed;
    private long differsSinceNanos;

    /**
     * Creates the writer of a record that was not read yet.
     *
     * @param onChange receives the changes that the record brings
     */
    QuarantineRecordWriter(
            GatewayContext context, PeerLinks links, PromptPartQuarantine quarantine, Consumer<BlockChange> onChange) {
        this.context = context;
        this.links = links;
        this.quarantine = quarantine;
        this.onChange = onChange;
        this.notBeforeNanos = context.nowNanos();
    }

    /**
     * Applies the record as read from the key-value store. An entry without a value was deleted by an operator, to lift all blocks;
     * one that can't be read lifts none, and is replaced.
     */
    void recordRead(KeyChange entry) {
        if (entry.revision() <= knownRevision) {
            return;
        }
        knownRevision = entry.revision();
        expectedRevision = entry.value().isPresent() ? entry.revision() : 0;
        Try<QuarantineRecord> record =
                entry.value().map(QuarantineRecordCodec::read).orElse(Try.success(QuarantineRecord.EMPTY));
        known = record.onFailure(this::logInvalid).getOrElse(QuarantineRecord.EMPTY);
        if (record.isFailure()) {
            return;
        }
        quarantine
                .restore(known, System.currentTimeMillis(), context.nowNanos())
                .forEach(onChange);
    }

    /** Writes the record if it is not what this host knows; called periodically. */
    void tick() {
        long nowNanos = context.nowNanos();
        if (!quarantine.differsFrom(known)) {
            differed = false;
            return;
        }
        if (!differed) {
            differed = true;
            differsSinceNanos = nowNanos;
        }
        boolean myTurn = nowNanos - differsSinceNanos >= OTHERS_DELAY_NANOS || links.isResponsibleFor(RESPONSIBILITY);
        if (myTurn && nowNanos - notBeforeNanos >= 0) {
            notBeforeNanos = nowNanos + RETRY_DELAY_NANOS;
            write(quarantine.toRecord(System.currentTimeMillis(), nowNanos));
        }
    }

    private void write(QuarantineRecord record) {
        Transaction put = Transaction.builder()
                .ifRevisionIs(StoredKeys.QUARANTINE, expectedRevision)
                .put(StoredKeys.QUARANTINE, QuarantineRecordCodec.write(record))
                .build();
        context.onLoop(context.store().write(put), this::onWritten);
    }

    /** The record itself comes back with the changes of the list of hosts. */
    private void onWritten(KeyValueStore.WriteResult result, Throwable failure) {
        if (failure != null) {
            context.timeline()
                    .event(EventKind.QUARANTINE_RECORD_UNWRITTEN)
                    .with("reason", String.valueOf(failure.getMessage()))
                    .write();
        }
    }

    private void logInvalid(Throwable failure) {
        context.timeline()
                .event(EventKind.QUARANTINE_RECORD_INVALID)
                .with("finding", String.valueOf(failure.getMessage()))
                .write();
    }
}
