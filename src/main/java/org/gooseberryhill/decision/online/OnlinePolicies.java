package org.gooseberryhill.decision.online;

import org.gooseberryhill.decision.admission.AdmissionPolicy;
import org.gooseberryhill.decision.admission.DeadlineAdmissionPolicy;
import org.gooseberryhill.decision.admission.UnlimitedAdmissionPolicy;
import org.gooseberryhill.decision.retry.BudgetedRetryPolicy;
import org.gooseberryhill.decision.retry.NoRetryPolicy;
import org.gooseberryhill.decision.retry.RetryBudget;
import org.gooseberryhill.decision.retry.RetryPolicy;
import org.gooseberryhill.decision.routing.PrefixAffinityPolicy;
import org.gooseberryhill.decision.routing.RoundRobinPolicy;
import org.gooseberryhill.decision.routing.RoutePolicy;
import org.gooseberryhill.decision.routing.TwoChoicesPolicy;

/**
 * The set of policies that an entry host applies to online requests.
 *
 * @param route chooses the endpoint of a request
 * @param admission admits or refuses a request on arrival
 * @param retry decides whether a failed request is retried
 */
public record OnlinePolicies(RoutePolicy route, AdmissionPolicy admission, RetryPolicy retry) {
    private static final double RETRIES_PER_REQUEST = 0.2;
    private static final double MAX_RETRY_BURST = 24;
    private static final int MAX_ATTEMPTS = 3;
    private static final long MIN_REMAINING_MILLIS = 20;
    private static final double MAX_WAIT_SHARE = 0.5;
    private static final double AFFINITY_MAX_LOAD = 0.6;

    /** Returns the policies for production use. */
    public static OnlinePolicies defaults() {
        RetryBudget budget = new RetryBudget(RETRIES_PER_REQUEST, MAX_RETRY_BURST);
        return new OnlinePolicies(
                new PrefixAffinityPolicy(new TwoChoicesPolicy(), AFFINITY_MAX_LOAD),
                new DeadlineAdmissionPolicy(MAX_WAIT_SHARE),
                new BudgetedRetryPolicy(budget, MAX_ATTEMPTS, MIN_REMAINING_MILLIS));
    }

    /** Returns the baseline for comparisons: round robin, no limits, no retries. */
    public static OnlinePolicies baseline() {
        return new OnlinePolicies(new RoundRobinPolicy(), new UnlimitedAdmissionPolicy(), new NoRetryPolicy());
    }
}
