package org.gooseberryhill.decision.continuation;

import java.util.HashSet;
import java.util.Optional;
import java.util.Set;
import org.gooseberryhill.directory.ServiceVersion;

/**
 * Finds out which version began a stream, from what this host knows and what others report. Not thread-safe.
 *
 * <p>Invariants: a version is returned only if a host recorded it and none recorded another, or if it was the only one that was
 * registered for as long as the stream may have lasted, as most of the asked hosts confirm. A host that hears few others may have
 * missed registrations, and so may those few.
 */
public final class OriginInquiry {
    private final Optional<String> service;
    private final Set<ServiceVersion> origins;
    private RegisteredVersions registered;
    private boolean alone = true;
    private int asked;
    private int answered;

    /**
     * Begins with what this host knows itself.
     *
     * @param service the service that the stream must have begun at; empty if there are several
     */
    public OriginInquiry(Optional<String> service, OriginReport own) {
        this.service = service;
        this.origins = new HashSet<>(own.origins());
        this.registered = own.registered();
    }

    /** Records that another host is asked. */
    public void asked() {
        alone = false;
        asked++;
    }

    /** Records that a host that was asked seems to have ended, so that its answer is not waited for. */
    public void hostEnded() {
        asked--;
    }

    /** Records the report of a host that was asked. */
    public void answered(OriginReport report) {
        answered++;
        origins.addAll(report.origins());
        registered = registered.union(report.registered());
    }

    /** Returns whether what this host knows itself is enough. */
    public boolean isDecidedAlone() {
        return !origins.isEmpty();
    }

    /** Returns whether more answers can't change the result, or all hosts that were asked have answered. */
    public boolean isDecided() {
        return !origins.isEmpty() || answered >= asked;
    }

    /** Returns the version that began the stream; empty if it is not certain. */
    public Optional<ServiceVersion> beganAt() {
        if (!origins.isEmpty()) {
            return origins.size() == 1 ? origins.stream().findFirst() : Optional.empty();
        }
        boolean confirmed = alone || answered * 2 > asked;
        if (!confirmed || !registered.complete() || registered.versions().size() != 1) {
            return Optional.empty();
        }
        return service.map(name ->
                new ServiceVersion(name, registered.versions().iterator().next()));
    }

    /** Returns what was found out, for the log. */
    @Override
    public String toString() {
        return "origins " + origins + ", registered " + registered.versions()
                + (registered.complete() ? "" : " or others") + ", " + answered + " of " + asked + " hosts answered";
    }
}
