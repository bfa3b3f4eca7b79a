package org.gooseberryhill.steward;

import org.gooseberryhill.decision.order.ModelHolding;

/**
 * What an engine says of itself, with a lag. Immutable.
 *
 * @param active requests that it runs
 * @param queued requests that wait in it
 * @param draining whether it is about to leave
 * @param held the model that it holds
 */
record EndpointStatus(int active, int queued, boolean draining, ModelHolding held) {}
