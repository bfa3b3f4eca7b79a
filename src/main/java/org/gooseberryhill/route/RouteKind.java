package org.gooseberryhill.route;

/** What may be repeated of a route's requests, and how they are answered. Immutable. */
public enum RouteKind {
    /** Whole answers; a request may run more than once. */
    SAFE,
    /** Whole answers; a request may run at most once. */
    UNSAFE,
    /** Answers that come event by event. */
    STREAM,
    /** Request batches that are taken in at once and run later. */
    BATCH
}
