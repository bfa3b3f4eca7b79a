package org.gooseberryhill.decision.continuation;

import java.util.HashSet;
import java.util.Optional;
import java.util.Set;
import org.gooseberryhill.directory.ServiceVersion;

/**
 * Finds out which version began a stream, from what this host knows and what others report. Not thread-safe.
 *
 * <p>Invariants: a version is returned only if a host recorded it and none recorded another, or if it was the only one that was
 * registered for as long as the stream may have lasted, as most of the asked hosts confirm and the registrations show that were read
 * after the stream was taken up. A host that hears few others may have missed registrations, and so may those few; one that has
 * just been registered may be known to the host only at which the stream began.
 */
public final class OriginInquiry {
    private final Optional<String> service;
    private final Set<ServiceVersion> origins;
    private RegisteredVersions registered;
    private boolean alone = true;
    private int asked;
    private int answered;
    private boolean registrationsRead;
    private boolean registrationsUnread;

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

    /**
     * Records what this host knows since it has read the registrations anew, after this inquiry began.
     *
     * @param joined whether it has followed them for so long that the reports of other hosts reach to what it has seen itself
     */
    public void registrationsRead(OriginReport own, boolean joined) {
        origins.addAll(own.origins());
        registered = registered.union(own.registered());
        registrationsRead = joined;
        registrationsUnread = !joined;
    }

    /** Records that this host can't read the registrations now. */
    public void registrationsNotRead() {
        registrationsUnread = true;
    }

    /** Returns whether a single version is left that counts only if the registrations of this moment show no other. */
    public boolean needsRegistrations() {
        return origins.isEmpty() && !registrationsRead && !registrationsUnread && isConfirmedOnlyVersion();
    }

    /** Returns whether what this host knows itself is enough. */
    public boolean isDecidedAlone() {
        return !origins.isEmpty();
    }

    /** Returns whether all hosts that were asked have answered. */
    public boolean haveAllAnswered() {
        return answered >= asked;
    }

    /** Returns whether more answers can't change the result, or all hosts that were asked have answered. */
    public boolean isDecided() {
        return !origins.isEmpty() || haveAllAnswered() && !needsRegistrations();
    }

    /** Returns the version that began the stream; empty if it is not certain. */
    public Optional<ServiceVersion> beganAt() {
        if (!origins.isEmpty()) {
            return origins.size() == 1 ? origins.stream().findFirst() : Optional.empty();
        }
        if (!registrationsRead || !isConfirmedOnlyVersion()) {
            return Optional.empty();
        }
        return service.map(name ->
                new ServiceVersion(name, registered.versions().iterator().next()));
    }

    private boolean isConfirmedOnlyVersion() {
        boolean confirmed = alone || answered * 2 > asked;
        return confirmed
                && service.isPresent()
                && registered.complete()
                && registered.versions().size() == 1;
    }

    /** Returns what was found out, for the log. */
    @Override
    public String toString() {
        return "origins " + origins + ", registered " + registered.versions()
                + (registered.complete() ? "" : " or others") + ", " + answered + " of " + asked + " hosts answered"
                + (registrationsUnread ? ", registrations not read" : "");
    }
}
