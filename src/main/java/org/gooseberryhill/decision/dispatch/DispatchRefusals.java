package org.gooseberryhill.decision.dispatch;

import java.util.Optional;
import org.gooseberryhill.contract.ErrorCode;
import org.gooseberryhill.contract.Refusal;

/** Refusals of routed requests, with the time after which a retry is likely to be served. Stateless. */
final class DispatchRefusals {
    /** Retry-after when no endpoint is usable: registrations return within about two seconds. */
    private static final long NO_ENDPOINT_RETRY_AFTER_MILLIS = 1000;

    /** Retry-after of a full service: about the time until the next slot of an endpoint is free. */
    private static final long BUSY_RETRY_AFTER_MILLIS = 200;

    /** Retry-after of a host that is cut off from those that count requests: another host serves the retry. */
    private static final long UNKNOWN_QUOTA_RETRY_AFTER_MILLIS = 20;

    /** Retry-after while a request with the same suspected part runs: about the time of a run. */
    private static final long NO_PERMIT_RETRY_AFTER_MILLIS = 500;

    private DispatchRefusals() {}

    static Refusal overloaded(long retryAfterMillis) {
        return Refusal.notRun(ErrorCode.OVERLOADED, "no slot is likely to be free in time", retryAfterMillis);
    }

    static Refusal overQuota(RoutedRequest request, long retryAfterMillis) {
        return new Refusal(
                ErrorCode.LIMITED, request.outcome(), "the account's quota is used up", Optional.of(retryAfterMillis));
    }

    /** Another host can probably tell, so the caller is to retry soon. */
    static Refusal unknownQuota(RoutedRequest request) {
        return new Refusal(
                ErrorCode.OVERLOADED,
                request.outcome(),
                "this host cannot tell whether the account's quota is used up",
                Optional.of(UNKNOWN_QUOTA_RETRY_AFTER_MILLIS));
    }

    static Refusal blockedPart(RoutedRequest request, long retryAfterMillis) {
        return new Refusal(
                ErrorCode.QUARANTINED,
                request.outcome(),
                "a part of the prompt crashes endpoints",
                Optional.of(retryAfterMillis));
    }

    static Refusal noPermit(RoutedRequest request) {
        return new Refusal(
                ErrorCode.QUARANTINED,
                request.outcome(),
                "a part of the prompt may crash endpoints, and another request with it is running",
                Optional.of(NO_PERMIT_RETRY_AFTER_MILLIS));
    }

    static Refusal noEndpoint() {
        return Refusal.notRun(
                ErrorCode.NO_ENDPOINT, "no endpoint of the service can be used", NO_ENDPOINT_RETRY_AFTER_MILLIS);
    }

    static Refusal noEndpointOfVersion() {
        return Refusal.notRun(
                ErrorCode.NO_ENDPOINT,
                "no endpoint of the version that began the stream can be used",
                NO_ENDPOINT_RETRY_AFTER_MILLIS);
    }

    static Refusal noOtherEndpoint(RoutedRequest request) {
        return of(request, ErrorCode.OVERLOADED, "no other endpoint of the service can be used");
    }

    static Refusal of(RoutedRequest request, ErrorCode code, String message) {
        return new Refusal(code, request.outcome(), message, Optional.of(BUSY_RETRY_AFTER_MILLIS));
    }
}
