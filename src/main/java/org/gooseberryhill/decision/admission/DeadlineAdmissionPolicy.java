package org.gooseberryhill.decision.admission;

import java.util.Optional;
import org.gooseberryhill.contract.ErrorCode;
import org.gooseberryhill.contract.Refusal;

/**
 * Refuses what could not be answered in time, and a caller beyond its limit. Stateless.
 *
 * <p>Failure: under overload each request waits until its caller has gone, so that all work is wasted. A refusal at
 * once, with the time when a slot is likely free, costs nothing and keeps the rest prompt.
 */
public final class DeadlineAdmissionPolicy implements AdmissionPolicy {
    private static final long LIMITED_RETRY_AFTER_MILLIS = 1000;

    private final double waitShareOfDeadline;

    /**
     * A policy with a bound for waiting.
     *
     * @param waitShareOfDeadline the share of the remaining time that may be spent waiting, such as 0.5
     */
    public DeadlineAdmissionPolicy(double waitShareOfDeadline) {
        this.waitShareOfDeadline = waitShareOfDeadline;
    }

    @Override
    public Optional<Refusal> refuse(AdmissionCase admission) {
        if (admission.callerInFlight() >= admission.callerLimit()) {
            return Optional.of(Refusal.notRun(
                    ErrorCode.LIMITED,
                    "the caller has " + admission.callerInFlight() + " requests in flight already",
                    LIMITED_RETRY_AFTER_MILLIS));
        }
        if (admission.remainingMillis() <= 0) {
            return Optional.of(Refusal.notRun(ErrorCode.DEADLINE_EXCEEDED, "the deadline has passed"));
        }
        if (admission.predictedWaitMillis() > waitShareOfDeadline * admission.remainingMillis()) {
            long waitMillis = (long) Math.ceil(admission.predictedWaitMillis());
            return Optional.of(Refusal.notRun(ErrorCode.OVERLOADED, "no room within the deadline", waitMillis));
        }
        return Optional.empty();
    }
}
