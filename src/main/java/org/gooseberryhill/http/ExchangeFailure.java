package org.gooseberryhill.http;

import org.gooseberryhill.contract.Outcome;

/**
 * Why an exchange with an endpoint ended without its whole answer. Immutable.
 *
 * @param kind what happened
 * @param outcome not-run only if no byte was handed to the connection
 * @param detail a short text for logs
 */
public record ExchangeFailure(Kind kind, Outcome outcome, String detail) {
    /** What happened to an exchange. */
    public enum Kind {
        /** No connection could be made. */
        CONNECT_FAILED,
        /** The connection ended before the whole answer. */
        CONNECTION_LOST,
        /** The other side was silent for too long. */
        SILENT,
        /** The answer was not valid HTTP, or its length is not known. */
        MALFORMED
    }
}
