package org.gooseberryhill.decision.dispatch;

import java.util.List;
import java.util.Optional;
import java.util.Set;
import org.gooseberryhill.directory.EndpointEntry;
import org.gooseberryhill.directory.EndpointGroup;

/** Selects the groups of endpoints whose coordinators a host asks where to send a request. */
public interface GroupSelector {
    /** Selects no group: the host chooses endpoints by what it knows itself. */
    GroupSelector NONE = new GroupSelector() {
        @Override
        public Optional<EndpointGroup> next(String service, Set<EndpointGroup> asked, long nowNanos) {
            return Optional.empty();
        }

        @Override
        public List<EndpointEntry> members(EndpointGroup group) {
            return List.of();
        }
    };

    /**
     * Returns the group to ask next; empty if none is left whose coordinator is likely to answer.
     *
     * @param asked the groups that were asked for this request already
     */
    Optional<EndpointGroup> next(String service, Set<EndpointGroup> asked, long nowNanos);

    /** Returns the endpoints of a group. */
    List<EndpointEntry> members(EndpointGroup group);

    /** Returns whether each group of a service is of one availability zone. */
    default boolean followsZones(String service) {
        return false;
    }
}
