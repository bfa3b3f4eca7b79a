package org.gooseberryhill.directory;

/**
 * A part of the endpoints of a service, whose slots one host assigns. Immutable.
 *
 * @param service the service
 * @param number the number of the group within its service
 */
public record EndpointGroup(String service, int number) {
    private static final int HASH_FACTOR = 31;

    /** Returns a text that identifies the group, as the key of its coordinator. */
    public String key() {
        return service + "/" + number;
    }

    // Implemented by hand: the generated methods of a record are linked at their first use, which adds about 10 ms to
    // the start of a host.
    @Override
    public boolean equals(Object other) {
        return other instanceof EndpointGroup that && number == that.number && service.equals(that.service);
    }

    @Override
    public int hashCode() {
        return HASH_FACTOR * service.hashCode() + number;
    }

    @Override
    public String toString() {
        return key();
    }
}
