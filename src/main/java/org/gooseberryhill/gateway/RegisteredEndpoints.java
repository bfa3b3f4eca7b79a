package org.gooseberryhill.gateway;

import io.vavr.control.Either;
import io.vavr.control.Try;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.Collection;
import java.util.HashMap;
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
 * and most of them change nothing. An invalid registration names no endpoint, and is logged once for each value.
 */
final class RegisteredEndpoints {
    private final DirectoryDialect dialect;
    private final Timeline timeline;
    private final Map<String, EndpointEntry> byKey = new TreeMap<>();
    private final Map<String, byte[]> loggedInvalidValues = new HashMap<>();
    private final List<EndpointEntry> passed = new ArrayList<>();

    RegisteredEndpoints(DirectoryDialect dialect, Timeline timeline) {
        this.dialect = dialect;
        this.timeline = timeline;
    }

    /** Applies written and deleted registrations; returns whether they add, change or remove an endpoint. */
    boolean apply(List<KeyChange> changes) {
        boolean changed = false;
        passed.clear();
        for (KeyChange registration : changes) {
            changed |= apply(registration);
        }
        return changed;
    }

    /**
     * Returns the changes without registrations that were written only to show that their endpoint is alive: those equal to the
     * registration before, which may be among the changes.
     *
     * <p>Load pattern: a large fleet of endpoints writes dozens of registrations a second, and each host would parse all of
     * them although next to none changes anything.
     */
    List<KeyChange> withoutHeartbeats(List<KeyChange> changes) {
        Map<String, Optional<EndpointEntry>> entries = new HashMap<>();
        List<KeyChange> effective = new ArrayList<>();
        for (KeyChange change : changes) {
            Optional<EndpointEntry> before =
                    entries.getOrDefault(change.key(), Optional.ofNullable(byKey.get(change.key())));
            Optional<EndpointEntry> after =
                    change.value().flatMap(value -> decode(change).toJavaOptional());
            if (after.isEmpty() || !after.equals(before)) {
                effective.add(change);
            }
            entries.put(change.key(), after);
        }
        return effective;
    }

    /** Returns all endpoints, ordered by the keys of their registrations. */
    Collection<EndpointEntry> entries() {
        return List.copyOf(byKey.values());
    }

    /** Returns the entries of endpoints that the changes applied last have replaced or removed, even if they brought them. */
    Collection<EndpointEntry> passedEntries() {
        return List.copyOf(passed);
    }

    /** Returns the number of registrations that name no endpoint. */
    int invalidCount() {
        return loggedInvalidValues.size();
    }

    private boolean apply(KeyChange registration) {
        if (registration.value().isEmpty()) {
            loggedInvalidValues.remove(registration.key());
            return remove(registration.key());
        }
        Optional<EndpointEntry> entry = parse(registration);
        if (entry.isEmpty()) {
            return remove(registration.key());
        }
        loggedInvalidValues.remove(registration.key());
        Optional<EndpointEntry> before = Optional.ofNullable(byKey.put(registration.key(), entry.get()));
        before.ifPresent(passed::add);
        return !before.equals(entry);
    }

    private boolean remove(String key) {
        Optional<EndpointEntry> before = Optional.ofNullable(byKey.remove(key));
        before.ifPresent(passed::add);
        return before.isPresent();
    }

    private Optional<EndpointEntry> parse(KeyChange registration) {
        return decode(registration)
                .peekLeft(finding -> logInvalid(registration, finding))
                .toJavaOptional();
    }

    /** Decodes a registration by itself: whatever is wrong with it, the others are read. */
    private Either<String, EndpointEntry> decode(KeyChange registration) {
        return Try.of(() -> dialect.parseRegistration(registration))
                .getOrElseGet(failure -> Either.left(String.valueOf(failure)));
    }

    private void logInvalid(KeyChange registration, String finding) {
        byte[] value = registration.value().orElseThrow();
        byte[] loggedValue = loggedInvalidValues.put(registration.key(), value);
        if (Arrays.equals(value, loggedValue)) {
            return;
        }
        timeline.event(EventKind.REGISTRATION_INVALID)
                .with("key", registration.key())
                .with("finding", finding)
                .write();
    }
}
