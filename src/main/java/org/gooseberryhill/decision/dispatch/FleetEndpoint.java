package org.gooseberryhill.decision.dispatch;

import org.gooseberryhill.directory.EndpointEntry;
import org.gooseberryhill.directory.EndpointKey;
import org.gooseberryhill.zone.AvailabilityZone;

/**
 * A registered endpoint as one host knows it: this host's own requests exactly, those of other hosts as last reported.
 * Not thread-safe.
 */
public final class FleetEndpoint {
    private final EndpointHealth health = new EndpointHealth();
    private EndpointEntry entry;
    private InFlight ownInFlight = InFlight.NONE;
    private InFlight otherHostsInFlight = InFlight.NONE;

    FleetEndpoint(EndpointEntry entry) {
        this.entry = entry;
    }

    /** Returns the registration of the endpoint. */
    public EndpointEntry entry() {
        return entry;
    }

    /** Returns the identity of the endpoint. */
    public EndpointKey key() {
        return entry.key();
    }

    /** Returns the number of online requests in flight, of all hosts. */
    public int online() {
        return ownInFlight.online() + otherHostsInFlight.online();
    }

    /** Returns the number of items of request batches in flight, of all hosts. */
    public int batch() {
        return ownInFlight.batch() + otherHostsInFlight.batch();
    }

    /** Returns the requests that this host has in flight. */
    public InFlight ownInFlight() {
        return ownInFlight;
    }

    /** Returns the number of free slots; negative while requests wait at the endpoint. */
    public int freeSlots() {
        return entry.slots() - online() - batch();
    }

    /** Returns whether the endpoint is in an availability zone. */
    public boolean isIn(AvailabilityZone zone) {
        return entry.zone().equals(zone);
    }

    /** Returns whether new requests may be placed at the endpoint. */
    public boolean isUsable(long nowNanos) {
        return !entry.leaving() && health.isUsable(nowNanos);
    }

    boolean isEjected(long nowNanos) {
        return health.isEjected(nowNanos);
    }

    EndpointHealth health() {
        return health;
    }

    void setEntry(EndpointEntry newEntry) {
        entry = newEntry;
    }

    void addOtherHostsInFlight(int online, int batch) {
        otherHostsInFlight = new InFlight(otherHostsInFlight.online() + online, otherHostsInFlight.batch() + batch);
    }

    void setOwnInFlight(InFlight inFlight) {
        ownInFlight = inFlight;
    }
}
