package org.gooseberryhill.decision.coordination;

import org.gooseberryhill.decision.dispatch.PlacementAnswer;

/**
 * A coordinator's answer to a host that asked for an endpoint. Immutable.
 *
 * @param reservation the number of the assigned slot; 0 if none was assigned
 * @param answer the answer
 */
public record PlacementReply(long reservation, PlacementAnswer answer) {
    static PlacementReply of(PlacementAnswer answer) {
        return new PlacementReply(0, answer);
    }
}
