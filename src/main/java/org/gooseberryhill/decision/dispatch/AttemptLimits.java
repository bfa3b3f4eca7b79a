package org.gooseberryhill.decision.dispatch;

import java.util.Optional;
import org.gooseberryhill.contract.ErrorCode;
import org.gooseberryhill.contract.Outcome;
import org.gooseberryhill.contract.Refusal;
import org.gooseberryhill.route.Route;

/** Decides whether a request may be sent again after an attempt without the whole answer. Not thread-safe. */
final class AttemptLimits {
    /** Shortest time in which an endpoint can answer: a round trip and the shortest run. */
    static final long MIN_REMAINING_MILLIS = 20;

    /**
     * Maximum sends of one request, including those that endpoints refuse.
     *
     * <p>Each send costs a round trip, and when the service is full, all its endpoints refuse.
     */
    private static final int MAX_SENDS = 6;

    /**
     * Maximum sends of a request whose caller has received a part of the answer.
     *
     * <p>Batch items free a slot within some tens of milliseconds. Completing an answer is worth more sends than a new
     * request, whose caller can retry.
     */
    private static final int MAX_SENDS_AFTER_ANSWER_START = 20;

    private final QuarantineGate gate;

    AttemptLimits(QuarantineGate gate) {
        this.gate = gate;
    }

    /**
     * Returns the refusal if the request may not be sent again after an attempt with the given end; empty if it may.
     *
     * @param progress the progress of the request, including that attempt
     */
    Optional<Refusal> refuse(RoutedRequest request, RequestProgress progress, AttemptEnd end, long nowNanos) {
        Route route = request.info().route();
        if (progress.outcome() == Outcome.MAY_HAVE_RUN && !route.isRepeatable()) {
            return Optional.of(Refusal.mayHaveRun(
                    ErrorCode.ENDPOINT_FAILED, "the endpoint failed after the request was sent; it is not repeated"));
        }
        if (progress.answerStarted() && !route.resumable()) {
            return Optional.of(Refusal.mayHaveRun(ErrorCode.ENDPOINT_FAILED, "the answer was cut"));
        }
        if (request.remainingMillis(nowNanos) < MIN_REMAINING_MILLIS) {
            return Optional.of(
                    DispatchRefusals.of(request, ErrorCode.DEADLINE_EXCEEDED, "no time is left for another attempt"));
        }
        if (progress.possibleRuns() >= route.maxAttempts()) {
            return Optional.of(
                    DispatchRefusals.of(request, ErrorCode.ENDPOINT_FAILED, "all attempts failed, the last: " + end));
        }
        if (progress.sends() >= (progress.answerStarted() ? MAX_SENDS_AFTER_ANSWER_START : MAX_SENDS)) {
            return Optional.of(DispatchRefusals.of(request, ErrorCode.OVERLOADED, "the endpoints are full"));
        }
        return gate.refuse(request, nowNanos);
    }
}
