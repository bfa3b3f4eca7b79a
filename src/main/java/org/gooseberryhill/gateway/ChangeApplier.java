package org.gooseberryhill.gateway;

import java.util.List;
import java.util.concurrent.atomic.LongAdder;
import java.util.function.Consumer;
import org.gooseberryhill.external.KeyChange;
import org.gooseberryhill.timeline.EventKind;
import org.gooseberryhill.timeline.Timeline;

/**
 * Applies changes of a key prefix one at a time. Confined to the control thread, except for the count of failures.
 *
 * <p>Invariant: a change that can't be applied does not keep any other from being applied. The store offers each change
 * once, and any writer may have written one of them.
 */
final class ChangeApplier {
    private final Timeline timeline;
    private final LongAdder failures = new LongAdder();

    ChangeApplier(Timeline timeline) {
        this.timeline = timeline;
    }

    /** Applies each change; logs and counts those whose application throws. */
    void applyEach(List<KeyChange> changes, Consumer<KeyChange> application) {
        for (KeyChange change : changes) {
            try {
                application.accept(change);
            } catch (RuntimeException e) {
                logFailure(change, e);
            }
        }
    }

    /** Returns the number of changes whose application has thrown. Thread-safe. */
    long failureCount() {
        return failures.sum();
    }

    private void logFailure(KeyChange change, RuntimeException failure) {
        failures.increment();
        timeline.event(EventKind.CHANGE_NOT_APPLIED)
                .with("key", change.key())
                .with("revision", change.revision())
                .with("reason", String.valueOf(failure))
                .write();
    }
}
