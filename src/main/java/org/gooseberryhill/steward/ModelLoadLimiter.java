package org.gooseberryhill.steward;

import java.nio.charset.StandardCharsets;
import java.util.Optional;
import org.gooseberryhill.external.Keys;
import org.gooseberryhill.external.Transaction;
import org.gooseberryhill.process.HostProcess;
import org.gooseberryhill.process.LeaseManager;

/**
 * Limits how many endpoints load a model at once, across all hosts. Confined to the control thread.
 *
 * <p>The weight store is rate-limited: if many endpoints loaded at once, most of the loads would fail. A slot is a key
 * under its holder's lease, so a lost holder's slot becomes free. Each host performs one load at a time.
 */
final class ModelLoadLimiter {
    private final HostProcess process;
    private final int slots;
    private boolean busy;
    private Optional<String> heldKey = Optional.empty();
    private int nextSlot;

    ModelLoadLimiter(HostProcess process, int slots) {
        this.process = process;
        this.slots = slots;
    }

    /** Acquires a slot, held until {@link #release}, and runs the action; runs the alternative if it gets no slot. */
    void runWithSlot(LeaseManager leaseManager, Runnable action, Runnable alternative) {
        Optional<Long> leaseId = leaseManager.usableLease();
        if (busy || leaseId.isEmpty()) {
            alternative.run();
            return;
        }
        busy = true;
        String key = Keys.loadSlot(nextSlot);
        nextSlot = (nextSlot + 1) % slots;
        byte[] holder = process.settings().self().id().value().getBytes(StandardCharsets.UTF_8);
        Transaction write = Transaction.builder()
                .ifAbsent(key)
                .putUnderLease(key, holder, leaseId.get())
                .build();
        process.keyValue()
                .write(write)
                .whenComplete((result, failure) -> process.loop().execute(() -> {
                    if (failure == null && result.succeeded()) {
                        heldKey = Optional.of(key);
                        action.run();
                    } else {
                        busy = false;
                        alternative.run();
                    }
                }));
    }

    /** Releases the slot after the load has ended. */
    void release() {
        busy = false;
        heldKey.ifPresent(key ->
                process.keyValue().write(Transaction.builder().delete(key).build()));
        heldKey = Optional.empty();
    }
}
