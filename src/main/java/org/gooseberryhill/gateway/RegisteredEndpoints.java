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
 * Endpoints that are registered in the key-value store. Confined to the control thread.
 *
 * <p>Endpoints write their registration about once a second just to show that they are alive: each write is parsed once,
 * and most of them change nothing. An invalid registration names no endpoint, and is logged once.
 */
final class RegisteredEndpoints {
    private final DirectoryDialect dialect;
    private final Timeline timeline;
    private final Map<String, EndpointEntry> byKey = new TreeMap<>();

    RegisteredEndpoints(DirectoryDialect dialect, Timeline timeline) {
        this.dialect = dialect;
        this.timeline = timeline;
    }

    /** Applies written and deleted registrations; returns whether they add, change or remove an endpoint. */
    boolean apply(List<KeyChange> changes) {
        boolean changed = false;
        for (KeyChange registration : changes) {
            changed |= apply(registration);
        }
        return changed;
    }

    /** Returns all endpoints, ordered by the keys of their registrations. */
    Collection<EndpointEntry> entries() {
        return List.copyOf(byKey.values());
    }

    private boolean apply(KeyChange registration) {
        Optional<EndpointEntry> entry = registration.value().isEmpty() ? Optional.empty() : parse(registration);
        if (entry.isEmpty()) {
            return byKey.remove(registration.key()) != null;
        }
        EndpointEntry before = byKey.put(registration.key(), entry.get());
        return !entry.get().equals(before);
    }

    private Optional<EndpointEntry> parse(KeyChange registration) {
        return dialect.parseRegistration(registration)
                .peekLeft(finding -> timeline.event(EventKind.REGISTRATION_INVALID)
                        .with("key", registration.key())
                        .with("finding", finding)
                        .write())
                .toJavaOptional();
    }
}
