package org.gooseberryhill.decision.continuation;

import java.util.HashSet;
import java.util.Set;

/**
 * The software versions of a service that a host has seen registered within the time in which a stream may be taken up
 * again. Immutable.
 *
 * @param versions the versions
 * @param complete whether the host knows the registrations of that whole time, but for the last {@link VersionHistory#MAX_AGE_NANOS}
 */
public record RegisteredVersions(Set<String> versions, boolean complete) {
    /** What a host knows that has seen no registration. */
    public static final RegisteredVersions NONE = new RegisteredVersions(Set.of(), false);

    /** Returns what two hosts know together. */
    RegisteredVersions union(RegisteredVersions other) {
        Set<String> all = new HashSet<>(versions);
        all.addAll(other.versions);
        return new RegisteredVersions(all, complete || other.complete);
    }
}
