package org.gooseberryhill.gateway;

import java.util.Optional;
import java.util.concurrent.TimeUnit;
import org.gooseberryhill.decision.continuation.VersionHistory;
import org.gooseberryhill.decision.continuation.VersionRecord;
import org.gooseberryhill.external.KeyChange;
import org.gooseberryhill.external.KeyValueStore;
import org.gooseberryhill.external.Transaction;
import org.gooseberryhill.stored.StoredKeys;
import org.gooseberryhill.stored.StoredValueCodec;
import org.gooseberryhill.timeline.EventKind;

/**
 * Keeps the record of software versions in the key-value store, from which hosts learn that start after all others were lost.
 * Confined to the control thread.
 *
 * <p>Invariant: one host writes, and only when a version comes or goes; a write takes effect only on the record that the host knows.
 */
final class VersionRecordWriter {
    /** Until then a host that starts does not know the others, and takes itself for the one that writes. */
    private static final long FIRST_WRITE_NANOS = TimeUnit.SECONDS.toNanos(3);

    private static final long RETRY_DELAY_NANOS = TimeUnit.SECONDS.toNanos(1);

    private static final String RESPONSIBILITY = "versions";

    private final GatewayContext context;
    private final PeerLinks links;
    private final VersionHistory history;
    private Optional<VersionRecord> known = Optional.empty();
    private long knownRevision;
    private long expectedRevision;
    private long notBeforeNanos;

    VersionRecordWriter(GatewayContext context, PeerLinks links, VersionHistory history) {
        this.context = context;
        this.links = links;
        this.history = history;
        this.notBeforeNanos = context.nowNanos() + FIRST_WRITE_NANOS;
    }

    /** Applies the record as read from the key-value store; one that was deleted or can't be read is written again. */
    void recordRead(KeyChange entry) {
        if (entry.revision() <= knownRevision) {
            return;
        }
        knownRevision = entry.revision();
        expectedRevision = entry.value().isPresent() ? entry.revision() : 0;
        known = entry.value()
                .flatMap(value -> StoredValueCodec.readVersions(value)
                        .onFailure(this::logInvalid)
                        .toJavaOptional());
        known.ifPresent(record -> history.restore(record, System.currentTimeMillis(), context.nowNanos()));
    }

    /** Writes the record if versions have come or gone and it is this host's turn; called periodically. */
    void tick() {
        long nowNanos = context.nowNanos();
        boolean upToDate = known.map(record -> !history.differsFrom(record)).orElse(false);
        if (upToDate || nowNanos - notBeforeNanos < 0 || !links.isResponsibleFor(RESPONSIBILITY)) {
            return;
        }
        notBeforeNanos = nowNanos + RETRY_DELAY_NANOS;
        history.toRecord(System.currentTimeMillis(), nowNanos).ifPresent(this::write);
    }

    private void write(VersionRecord record) {
        Transaction put = Transaction.builder()
                .ifRevisionIs(StoredKeys.VERSIONS, expectedRevision)
                .put(StoredKeys.VERSIONS, StoredValueCodec.write(record))
                .build();
        context.onLoop(context.store().write(put), this::onWritten);
    }

    /** The record itself comes back with the changes of the list of hosts. */
    private void onWritten(KeyValueStore.WriteResult result, Throwable failure) {
        if (failure != null) {
            context.timeline()
                    .event(EventKind.VERSION_RECORD_UNWRITTEN)
                    .with("reason", String.valueOf(failure.getMessage()))
                    .write();
        }
    }

    private void logInvalid(Throwable failure) {
        context.timeline()
                .event(EventKind.VERSION_RECORD_INVALID)
                .with("finding", String.valueOf(failure.getMessage()))
                .write();
    }
}
