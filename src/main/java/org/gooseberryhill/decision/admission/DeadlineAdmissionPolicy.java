package org.gooseberryhill.decision.admission;

import java.util.Optional;
import org.gooseberryhill.contract.ErrorCode;
import org.gooseberryhill.contract.Refusal;

/**
 * Refuses requests that are unlikely to be answered in time, and those of callers at their limit. Stateless.
 *
 * <p>Without it, under overload every request waits until its caller has given up, so that all work is wasted. An
 * immediate refusal with the time at which a slot is likely to be free costs nothing and keeps other requests fast.
 */
public final class DeadlineAdmissionPolicy implements AdmissionPolicy {
    private static final long LIMITED_RETRY_AFTER_MILLIS = 1000;

    private final double maxWaitShare;

    /**
     * Creates a policy.
     *
     * @param maxWaitShare the share of the time until the deadline that may be spent waiting, such as 0.5
     */
    public DeadlineAdmissionPolicy(double maxWaitShare) {
        this.maxWaitShare = maxWaitShare;
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
        if (admission.predictedWaitMillis() > maxWaitShare * admission.remainingMillis()) {
            long waitMillis = (long) Math.ceil(admission.predictedWaitMillis());
            return Optional.of(Refusal.notRun(ErrorCode.OVERLOADED, "no room within the deadline", waitMillis));
        }
        return Optional.empty();
    }
}
