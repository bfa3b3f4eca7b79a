package org.gooseberryhill.contract;

/**
 * Machine-readable reasons why a request was refused or failed, each with its HTTP status. Immutable and thread-safe.
 */
public enum ErrorCode {
    /** The body, a header or a parameter is not valid. */
    INVALID_REQUEST("invalid-request", 400),
    /** The bearer key is missing or belongs to no caller. */
    UNAUTHENTICATED("unauthenticated", 401),
    /** There is no such model, service, job or path. */
    NOT_FOUND("not-found", 404),
    /** The job id is in use with a different body, or the idempotency key with a different request. */
    CONFLICT("conflict", 409),
    /** A request with the same idempotency key is still running, or its answer was lost. */
    IN_PROGRESS("in-progress", 409),
    /** The body or a job item is larger than its limit. */
    TOO_LARGE("too-large", 413),
    /** The same request crashed endpoints and is quarantined for a time. */
    QUARANTINED("quarantined", 422),
    /** The caller's own limit is reached. */
    LIMITED("limited", 429),
    /** The system has no capacity for the request within its deadline. */
    OVERLOADED("overloaded", 503),
    /** No live endpoint serves the model or service. */
    NO_ENDPOINT("no-endpoint", 503),
    /** The request requires the platform's key-value store, which does not answer. */
    PLATFORM_UNAVAILABLE("platform-unavailable", 503),
    /** The host is stopping; the load balancer has other hosts. */
    STOPPING("stopping", 503),
    /** The endpoint failed and the request must not be retried. */
    ENDPOINT_FAILED("endpoint-failed", 502),
    /** The caller's deadline passed. */
    DEADLINE_EXCEEDED("deadline-exceeded", 504);

    private final String wireName;
    private final int httpStatus;

    ErrorCode(String wireName, int httpStatus) {
        this.wireName = wireName;
        this.httpStatus = httpStatus;
    }

    /** Returns the code as written in the error response. */
    public String wireName() {
        return wireName;
    }

    /** Returns the HTTP status sent with the code. */
    public int httpStatus() {
        return httpStatus;
    }
}
