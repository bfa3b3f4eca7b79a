package org.gooseberryhill.route;

import java.util.List;

/**
 * Route for the requests to one host whose path begins with a prefix, with the service levels promised to callers.
 * Immutable.
 *
 * @param name name of the route in logs and metrics
 * @param host value of the Host header of the requests
 * @param prefix path prefix; begins and ends with a slash
 * @param kind whether requests may be repeated, and how they are answered
 * @param targets services that share the requests; at least one
 * @param timeoutMillis maximum time that a caller is kept waiting for an answer
 * @param targetLatencyMillis time within which an answer, or its first event, counts as on time
 * @param maxAttempts maximum number of endpoints that may run one request
 * @param priority priority among the routes of a service; 0 is the most urgent
 * @param resumable whether another endpoint may continue a stream after any event
 * @param promptAware whether requests name the parts of their prompt
 * @param eventGapTargetMillis maximum pause between two events of a stream that counts as on time; 0 if none is set
 * @param completionTargetMillis time after its first submission at which a request batch is due; 0 for other kinds
 * @param retentionMillis time after that submission at which an item may be given up; 0 for other kinds
 * @param anonymous whether requests need no key of a client account
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
        long retentionMillis,
        boolean anonymous) {
    /** Returns the services that get requests of the route. */
    public List<String> services() {
        return targets.stream()
                .filter(target -> target.weight() > 0)
                .map(RouteTarget::service)
                .distinct()
                .toList();
    }

    /** Returns whether a request may run more than once, from its beginning or from an event on. */
    public boolean isRepeatable() {
        return kind == RouteKind.SAFE || kind == RouteKind.BATCH || (kind == RouteKind.STREAM && resumable);
    }
}
