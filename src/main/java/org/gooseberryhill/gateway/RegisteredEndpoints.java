package org.gooseberryhill.gateway;

import java.util.Collection;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import org.gooseberryhill.dialect.DirectoryDialect;
import org.gooseberryhill.directory.EndpointEntry;
import org.gooseberryhill.external.KeyChange;
import org.gooseberryhill.timeline.EventKind;
import org.gooseberryhill.timeline.Timeline;

/**
 * The endpoints that registrations name. For the control thread.
 *
 * <p>Endpoints write their registration about once a second only to show that they live: each is read once, and most of
 * them change nothing. One that can't be read names no endpoint, and is told once.
 */
final class RegisteredEndpoints {
    private final DirectoryDialect dialect;
    private final Timeline timeline;
    private final Map<String, EndpointEntry> byKey = new TreeMap<>();

    RegisteredEndpoints(DirectoryDialect dialect, Timeline timeline) {
        this.dialect = dialect;
        this.timeline = timeline;
    }

    /** Takes in registrations that were written or deleted; returns whether that changes what is known of an endpoint. */
    boolean take(List<KeyChange> news) {
        boolean changed = false;
        for (KeyChange registration : news) {
            changed |= take(registration);
        }
        return changed;
    }

    /** All endpoints, in the order of their registrations' keys. */
    Collection<EndpointEntry> entries() {
        return List.copyOf(byKey.values());
    }

    private boolean take(KeyChange registration) {
        Optional<EndpointEntry> entry = registration.value().isEmpty() ? Optional.empty() : read(registration);
        if (entry.isEmpty()) {
            return byKey.remove(registration.key()) != null;
        }
        EndpointEntry before = byKey.put(registration.key(), entry.get());
        return !entry.get().equals(before);
    }

    private Optional<EndpointEntry> read(KeyChange registration) {
        return dialect.endpoint(registration)
                .peekLeft(finding -> timeline.event(EventKind.REGISTRATION_INVALID)
                        .with("key", registration.key())
                        .with("finding", finding)
                        .write())
                .toJavaOptional();
    }
}
