package org.gooseberryhill.decision.admission;

/**
 * The state of a new request and its caller, as input to an {@link AdmissionPolicy}. Immutable.
 *
 * @param predictedWaitMillis the expected wait for a slot at the chosen endpoint, in milliseconds
 * @param remainingMillis the time until the caller's deadline, in milliseconds
 * @param callerInFlight the caller's online requests in flight at this entry host
 * @param callerLimit the maximum of {@code callerInFlight}
 */
public record AdmissionCase(double predictedWaitMillis, long remainingMillis, int callerInFlight, int callerLimit) {}
