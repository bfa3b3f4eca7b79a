package org.gooseberryhill.directory;

/**
 * A version of the software of a service's endpoints. Immutable.
 *
 * <p>Endpoints of several versions may serve side by side. What they generate does not fit together: a stream continues only
 * at endpoints of the version that began it.
 *
 * @param service the service
 * @param softwareVersion the version as registered; versions have no order
 */
public record ServiceVersion(String service, String softwareVersion) {
    private static final int HASH_FACTOR = 31;

    // Implemented by hand: the generated methods of a record are linked at their first use, which adds about 10 ms to
    // the start of a host.
    @Override
    public boolean equals(Object other) {
        return other instanceof ServiceVersion that
                && service.equals(that.service)
                && softwareVersion.equals(that.softwareVersion);
    }

    @Override
    public int hashCode() {
        return HASH_FACTOR * service.hashCode() + softwareVersion.hashCode();
    }
}
