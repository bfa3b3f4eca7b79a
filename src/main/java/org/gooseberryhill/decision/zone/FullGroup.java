package org.gooseberryhill.decision.zone;

import org.gooseberryhill.directory.EndpointGroup;
import org.gooseberryhill.directory.EndpointGroups;

/**
 * A group that has no free slot for a request. Immutable.
 *
 * @param group the group
 * @param groups all groups
 * @param waitMillis forecast wait for a slot of the group; infinite if none of its endpoints can be used
 */
public record FullGroup(EndpointGroup group, EndpointGroups groups, double waitMillis) {
    /** Returns whether an endpoint of the group can be used. */
    boolean isUsable() {
        return waitMillis < Double.POSITIVE_INFINITY;
    }
}
