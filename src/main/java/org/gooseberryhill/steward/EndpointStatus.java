package org.gooseberryhill.steward;

import org.gooseberryhill.decision.order.ModelHolding;

/**
 * The status that an engine reports of itself; it may lag behind the actual state. Immutable.
 *
 * @param active number of running requests
 * @param queued number of queued requests
 * @param draining whether the engine is draining and about to leave
 * @param held the model that the engine holds
 */
record EndpointStatus(int active, int queued, boolean draining, ModelHolding held) {}
