package org.gooseberryhill.decision.admission;

/**
 * What matters about a request for taking it in. Immutable.
 *
 * @param predictedWaitMillis the wait for a slot at the chosen endpoint
 * @param remainingMillis how long until the caller's deadline
 * @param callerInFlight online requests of the caller in flight at this entry host
 * @param callerLimit how many it may have
 */
public record AdmissionCase(double predictedWaitMillis, long remainingMillis, int callerInFlight, int callerLimit) {}
