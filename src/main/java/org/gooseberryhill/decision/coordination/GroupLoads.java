package org.gooseberryhill.decision.coordination;

import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import org.gooseberryhill.directory.EndpointGroup;

/**
 * The load of the groups that other hosts coordinate, and the choice of one that has room. Not thread-safe.
 *
 * <p>Load pattern: callers are spread unevenly over hosts, so the groups that hosts ask first differ in load, and one of them
 * is full while others have free slots.
 */
final class GroupLoads {
    /** Loads are sent ten times a second while they change, so an older one belongs to a lost coordinator. */
    private static final long MAX_AGE_NANOS = TimeUnit.MILLISECONDS.toNanos(500);

    private final Map<EndpointGroup, Known> byGroup = new HashMap<>();

    /** Records the loads that another coordinator has sent. */
    void update(Collection<GroupLoad> loads, long nowNanos) {
        loads.forEach(load -> byGroup.put(load.group(), new Known(load, nowNanos)));
    }

    /** Returns the load of a group, if its coordinator has sent it lately. */
    Optional<GroupLoad> find(EndpointGroup group, long nowNanos) {
        return Optional.ofNullable(byGroup.get(group))
                .filter(known -> nowNanos - known.receivedNanos < MAX_AGE_NANOS)
                .map(known -> known.load);
    }

    /**
     * Returns the group with the most room for a request that finds no free slot in its own; empty if none has more room
     * than its load fluctuates by. The request counts as sent there, so that not all requests go to the same group before
     * its next load is known.
     */
    Optional<EndpointGroup> takeRoom(List<EndpointGroup> groups, EndpointGroup own, long nowNanos) {
        return takeRoom(groups, own, 1, nowNanos);
    }

    /**
     * Returns the group with the most room for a request that finds no free slot in its own.
     *
     * @param fluctuations free slots that the other group must have beyond, as a multiple of the square root of its requests
     */
    Optional<EndpointGroup> takeRoom(
            List<EndpointGroup> groups, EndpointGroup own, double fluctuations, long nowNanos) {
        Known best = null;
        for (EndpointGroup group : groups) {
            Known known = byGroup.get(group);
            boolean usable = !group.equals(own) && find(group, nowNanos).isPresent();
            if (usable && (best == null || known.room() > best.room())) {
                best = known;
            }
        }
        double taken = best == null ? 0 : fluctuations * Math.sqrt(best.load.online());
        if (best == null || best.room() <= taken) {
            return Optional.empty();
        }
        best.sent++;
        return Optional.of(best.load.group());
    }

    /** The load of a group and the requests sent there since it was received. */
    private static final class Known {
        private final GroupLoad load;
        private final long receivedNanos;
        private int sent;

        Known(GroupLoad load, long receivedNanos) {
            this.load = load;
            this.receivedNanos = receivedNanos;
        }

        int room() {
            return load.slots() - load.online() - sent;
        }
    }
}
