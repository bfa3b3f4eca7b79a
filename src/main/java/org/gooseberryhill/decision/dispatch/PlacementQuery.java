package org.gooseberryhill.decision.dispatch;

import java.util.Optional;
import java.util.Set;
import org.gooseberryhill.contract.Prompt;
import org.gooseberryhill.directory.EndpointKey;
import org.gooseberryhill.zone.AvailabilityZone;

/**
 * What the choice of an endpoint for a request depends on, apart from the load. Immutable.
 *
 * @param service the service of the request
 * @param zone the availability zone of the host that will send the request
 * @param prompt the prompt; present for a token generation request
 * @param excluded endpoints that must not get the request
 * @param connected endpoints to which the sending host keeps an idle connection
 * @param targetLatencyMillis latency within which the answer is on time
 * @param remainingMillis time until the deadline of the request
 * @param refusable whether the request may be refused because of load; false once an endpoint may have run it
 * @param redirectable whether the request may be sent to another group
 * @param account the client account whose quota the request counts against; empty if it counts against none, or was counted
 * @param sender the client account that sent the request, counted or not; empty if none did
 */
public record PlacementQuery(
        String service,
        AvailabilityZone zone,
        Optional<Prompt> prompt,
        Set<EndpointKey> excluded,
        Set<EndpointKey> connected,
        long targetLatencyMillis,
        long remainingMillis,
        boolean refusable,
        boolean redirectable,
        Optional<String> account,
        Optional<String> sender) {
    /** Creates the query of a request whose sender is known only if its quota is still to be checked. */
    public PlacementQuery(
            String service,
            AvailabilityZone zone,
            Optional<Prompt> prompt,
            Set<EndpointKey> excluded,
            Set<EndpointKey> connected,
            long targetLatencyMillis,
            long remainingMillis,
            boolean refusable,
            boolean redirectable,
            Optional<String> account) {
        this(
                service,
                zone,
                prompt,
                excluded,
                connected,
                targetLatencyMillis,
                remainingMillis,
                refusable,
                redirectable,
                account,
                account);
    }
}
