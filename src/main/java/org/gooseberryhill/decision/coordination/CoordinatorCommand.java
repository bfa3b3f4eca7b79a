package org.gooseberryhill.decision.coordination;

import java.util.List;
import org.gooseberryhill.directory.EndpointKey;
import org.gooseberryhill.host.HostId;

/** What a coordinator tells the owner of batch items to do. Immutable. */
public sealed interface CoordinatorCommand {
    /** Returns the host that owns the items. */
    HostId owner();

    /**
     * Start an item at an endpoint, or return the grant.
     *
     * @param owner the host that owns the items
     * @param reservation the number of the grant
     * @param endpoint the endpoint
     * @param pressure the pressure by which the owner chooses the item
     */
    record Grant(HostId owner, long reservation, EndpointKey endpoint, double pressure) implements CoordinatorCommand {}

    /**
     * Stop runs, whose slots online requests need.
     *
     * @param owner the host that owns the items
     * @param runs the numbers of the runs
     */
    record Yield(HostId owner, List<Long> runs) implements CoordinatorCommand {}
}
