package org.gooseberryhill.decision.share;

import java.util.Optional;

/**
 * A request for which a coordinator chooses an endpoint, as far as sharing between accounts depends on it. Immutable.
 *
 * @param service the service of the request
 * @param account name of the client account; empty for requests without one, which share one weight
 * @param freeSlots number of slots of the group's usable endpoints that no online request uses
 * @param slots number of slots of the group's usable endpoints
 * @param remainingMillis time until the deadline of the request
 * @param nowNanos the current time
 */
public record ShareCase(
        String service, Optional<String> account, int freeSlots, int slots, long remainingMillis, long nowNanos) {}
