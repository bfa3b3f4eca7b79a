package org.gooseberryhill.route;

/** Whether the requests of a route may be repeated, and how they are answered. Immutable. */
public enum RouteKind {
    /** Complete answers; a request may run more than once. */
    SAFE,
    /** Complete answers; a request may run at most once. */
    UNSAFE,
    /** Answers that are sent event by event. */
    STREAM,
    /** Request batches, which are accepted at once and run later. */
    BATCH
}
