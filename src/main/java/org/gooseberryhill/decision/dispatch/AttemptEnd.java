package org.gooseberryhill.decision.dispatch;

/** How an attempt at an endpoint ended. Immutable. */
public enum AttemptEnd {
    /** With the endpoint's whole answer. */
    ANSWERED,
    /** No connection could be made: not run. */
    UNREACHABLE,
    /** The endpoint said that it has not run the request, since it is full or leaving. */
    BUSY,
    /** Another endpoint has the address now and did not run the request. */
    OTHER_ENDPOINT,
    /** The connection ended before the whole answer: may have run. */
    CUT,
    /** The endpoint sent nothing for too long: may have run, or wait for a slot still. */
    SILENT,
    /** What came was no valid answer: may have run. */
    MALFORMED,
    /** The endpoint ran the request and answered with a server error. */
    ERROR_ANSWER,
    /** This host gave the attempt up, since its caller left or its time is over. */
    ABANDONED,
    /** The connection was closed before anything was sent on it: not run. */
    DROPPED;

    /** Whether the request may have run in the attempt. */
    public boolean mayHaveRun() {
        return switch (this) {
            case CUT, SILENT, MALFORMED, ERROR_ANSWER, ANSWERED, ABANDONED -> true;
            default -> false;
        };
    }
}
