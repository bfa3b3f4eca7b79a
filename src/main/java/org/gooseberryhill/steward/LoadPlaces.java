package org.gooseberryhill.steward;

import java.nio.charset.StandardCharsets;
import java.util.Optional;
import org.gooseberryhill.external.Keys;
import org.gooseberryhill.external.Transaction;
import org.gooseberryhill.process.HostProcess;
import org.gooseberryhill.process.LeaseKeeper;

/**
 * Limits how many endpoints load a model at once, across all hosts. For the control thread.
 *
 * <p>The weight store is rate-limited: if many endpoints loaded at once, most of the loads would fail. A slot is a key
 * under its holder's lease, so a lost holder's slot becomes free. Each host performs one load at a time.
 */
final class LoadPlaces {
    private final HostProcess process;
    private final int places;
    private boolean busy;
    private Optional<String> held = Optional.empty();
    private int next;

    LoadPlaces(HostProcess process, int places) {
        this.process = process;
        this.places = places;
    }

    /** Runs the action while holding a slot, or the alternative if no slot could be acquired. */
    void withPlace(LeaseKeeper lease, Runnable action, Runnable without) {
        Optional<Long> usable = lease.usable();
        if (busy || usable.isEmpty()) {
            without.run();
            return;
        }
        busy = true;
        String key = Keys.load(next);
        next = (next + 1) % places;
        byte[] holder = process.settings().self().id().value().getBytes(StandardCharsets.UTF_8);
        Transaction write = Transaction.builder()
                .ifAbsent(key)
                .putUnderLease(key, holder, usable.get())
                .build();
        process.keyValue()
                .write(write)
                .whenComplete((result, failure) -> process.loop().execute(() -> {
                    if (failure == null && result.succeeded()) {
                        held = Optional.of(key);
                        action.run();
                    } else {
                        busy = false;
                        without.run();
                    }
                }));
    }

    /** Releases the slot after the load has ended. */
    void release() {
        busy = false;
        held.ifPresent(key ->
                process.keyValue().write(Transaction.builder().delete(key).build()));
        held = Optional.empty();
    }
}
