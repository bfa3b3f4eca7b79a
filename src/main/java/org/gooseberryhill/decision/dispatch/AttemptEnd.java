package org.gooseberryhill.decision.dispatch;

/** How an attempt at an endpoint ended. Immutable. */
public enum AttemptEnd {
    /** The endpoint sent its whole answer. */
    ANSWERED,
    /** No connection could be made: the request has not run. */
    UNREACHABLE,
    /** The endpoint refused the request without running it, since it is full or leaving. */
    BUSY,
    /** Another endpoint now has the address and did not run the request. */
    OTHER_ENDPOINT,
    /** The connection ended before the whole answer arrived: the request may have run. */
    CUT,
    /** The endpoint sent nothing for too long: the request may have run or may still wait for a slot. */
    SILENT,
    /** The answer was invalid: the request may have run. */
    MALFORMED,
    /** The endpoint ran the request and answered with a server error. */
    ERROR_ANSWER,
    /** This host cancelled the attempt, since the caller disconnected or the deadline passed. */
    ABANDONED,
    /** The connection was closed before anything was sent on it: the request has not run. */
    DROPPED;

    /** Returns whether the request may have run in the attempt. */
    public boolean mayHaveRun() {
        return switch (this) {
            case CUT, SILENT, MALFORMED, ERROR_ANSWER, ANSWERED, ABANDONED -> true;
            default -> false;
        };
    }
}
