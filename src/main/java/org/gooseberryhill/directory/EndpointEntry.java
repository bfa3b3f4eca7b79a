package org.gooseberryhill.directory;

import org.gooseberryhill.link.Address;
import org.gooseberryhill.zone.AvailabilityZone;

/**
 * An endpoint's registration in the directory. Immutable.
 *
 * @param id the name under which it registered; a restarted endpoint may reuse it
 * @param startedAtMillis when it started, in epoch milliseconds, 0 if unknown; each start counts as another endpoint
 * @param service the service that the endpoint belongs to
 * @param softwareVersion the version of its software, without an order; what two versions generate does not fit together
 * @param address where it accepts requests; other endpoints may reuse it once this one has left
 * @param zone its availability zone
 * @param slots the maximum number of requests that it runs concurrently
 * @param leaving whether it has asked to receive no new requests
 * @param warmUpLeftMillis the remaining warm-up time, in which it answers more slowly
 */
public record EndpointEntry(
        String id,
        long startedAtMillis,
        String service,
        String softwareVersion,
        Address address,
        AvailabilityZone zone,
        int slots,
        boolean leaving,
        long warmUpLeftMillis) {
    private static final int HASH_FACTOR = 31;

    /** Returns the key that distinguishes this start of the endpoint from all others. */
    public EndpointKey key() {
        return new EndpointKey(id, startedAtMillis);
    }

    /** Returns the service and the version of the endpoint's software. */
    public ServiceVersion serviceVersion() {
        return new ServiceVersion(service, softwareVersion);
    }

    // Implemented by hand: the generated methods of a record are linked at their first use, which adds about 10 ms to
    // the start of a host.
    @Override
    public boolean equals(Object other) {
        return other instanceof EndpointEntry that
                && key().equals(that.key())
                && service.equals(that.service)
                && softwareVersion.equals(that.softwareVersion)
                && address.equals(that.address)
                && zone.equals(that.zone)
                && slots == that.slots
                && leaving == that.leaving
                && warmUpLeftMillis == that.warmUpLeftMillis;
    }

    @Override
    public int hashCode() {
        return HASH_FACTOR * key().hashCode() + address.hashCode();
    }
}
