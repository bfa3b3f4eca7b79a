package org.gooseberryhill.contract;

/**
 * The machine-readable reasons of a refused or failed request, each with its HTTP status. Immutable and thread-safe.
 */
public enum ErrorCode {
    /** The body, a header or a parameter is not valid. */
    INVALID_REQUEST("invalid-request", 400),
    /** The bearer key is missing or belongs to no caller. */
    UNAUTHENTICATED("unauthenticated", 401),
    /** No such model, service, job or path. */
    NOT_FOUND("not-found", 404),
    /** The job id is taken by another body, or the idempotency key by another request. */
    CONFLICT("conflict", 409),
    /** A request with the same idempotency key is still running or lost its answer. */
    IN_PROGRESS("in-progress", 409),
    /** The body or a job item is larger than its limit. */
    TOO_LARGE("too-large", 413),
    /** The same request crashed endpoints and is held apart for a time. */
    QUARANTINED("quarantined", 422),
    /** The caller's own limit is reached. */
    LIMITED("limited", 429),
    /** The system has no room for the request within its deadline. */
    OVERLOADED("overloaded", 503),
    /** No live endpoint serves the model or service. */
    NO_ENDPOINT("no-endpoint", 503),
    /** The platform's key-value service is needed for the request and does not answer. */
    PLATFORM_UNAVAILABLE("platform-unavailable", 503),
    /** The host is stopping; the balancer has another. */
    STOPPING("stopping", 503),
    /** The endpoint failed and the request may not be tried again. */
    ENDPOINT_FAILED("endpoint-failed", 502),
    /** The caller's deadline passed. */
    DEADLINE_EXCEEDED("deadline-exceeded", 504);

    private final String wireName;
    private final int httpStatus;

    ErrorCode(String wireName, int httpStatus) {
        this.wireName = wireName;
        this.httpStatus = httpStatus;
    }

    /** The code in the error form. */
    public String wireName() {
        return wireName;
    }

    /** The HTTP status that carries the code. */
    public int httpStatus() {
        return httpStatus;
    }
}
