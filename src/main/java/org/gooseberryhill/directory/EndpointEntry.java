package org.gooseberryhill.directory;

import org.gooseberryhill.link.Address;
import org.gooseberryhill.zone.AvailabilityZone;

/**
 * What an endpoint registered of itself. Immutable.
 *
 * @param id the name under which it registered; a restarted endpoint may take it again
 * @param startedAtMillis when it started, in epoch milliseconds; another start is another endpoint; 0 if not told
 * @param service the service that it belongs to
 * @param address where it answers; used again by others after it has gone
 * @param zone its availability zone
 * @param slots how many requests it runs at once
 * @param leaving whether it asked for no new work
 * @param warmUpLeftMillis how much longer it answers slowly after its start
 */
public record EndpointEntry(
        String id,
        long startedAtMillis,
        String service,
        Address address,
        AvailabilityZone zone,
        int slots,
        boolean leaving,
        long warmUpLeftMillis) {
    private static final int HASH_FACTOR = 31;

    /** What tells this start of the endpoint from every other. */
    public EndpointKey key() {
        return new EndpointKey(id, startedAtMillis);
    }

    // Written out: the generated ones are linked at their first use, which takes some ten milliseconds of a host's
    // start.
    @Override
    public boolean equals(Object other) {
        return other instanceof EndpointEntry that
                && key().equals(that.key())
                && service.equals(that.service)
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
