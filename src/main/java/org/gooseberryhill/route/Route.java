package org.gooseberryhill.route;

import java.util.List;

/**
 * A route: the requests of one host whose path begins with a prefix, and what is promised for them. Immutable.
 *
 * @param name names it in logs and metrics
 * @param host the value of the requests' host header
 * @param prefix begins and ends with a slash
 * @param kind what may be repeated
 * @param targets the services that share its requests; at least one
 * @param timeoutMillis the longest time that a request may be kept waiting
 * @param targetLatencyMillis within which an answer, or the first event of one, is on time
 * @param maxAttempts the most endpoints that may run one request
 * @param priority the rank among a service's routes; 0 is the most urgent
 * @param resumable whether another endpoint may continue a stream from an event
 * @param promptAware whether requests name the parts of their prompt
 * @param eventGapTargetMillis the longest pause between two events of a stream that is on time; 0 if none is set
 * @param completionTargetMillis how long after its first submission a request batch is due; 0 for other kinds
 * @param retentionMillis how long after that submission an item may be given up; 0 for other kinds
 */
public record Route(
        String name,
        String host,
        String prefix,
        RouteKind kind,
        List<RouteTarget> targets,
        long timeoutMillis,
        long targetLatencyMillis,
        int maxAttempts,
        int priority,
        boolean resumable,
        boolean promptAware,
        long eventGapTargetMillis,
        long completionTargetMillis,
        long retentionMillis) {
    /** Whether a request may run more than once, as a whole or from an event on. */
    public boolean isRepeatable() {
        return kind == RouteKind.SAFE || kind == RouteKind.BATCH || (kind == RouteKind.STREAM && resumable);
    }

    /** Whether a service is among the targets. */
    public boolean mayReach(String service) {
        return targets.stream().anyMatch(target -> target.service().equals(service));
    }
}
