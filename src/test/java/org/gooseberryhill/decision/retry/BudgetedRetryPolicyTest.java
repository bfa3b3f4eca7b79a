package org.gooseberryhill.decision.retry;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.Optional;
import org.gooseberryhill.contract.ErrorCode;
import org.gooseberryhill.contract.Outcome;
import org.gooseberryhill.contract.Refusal;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

class BudgetedRetryPolicyTest {
    private final BudgetedRetryPolicy policy = new BudgetedRetryPolicy(new RetryBudget(0.2, 10), 3, 20);

    /**
     * The decision after a failed attempt depends on whether the request is idempotent, whether it may have run,
     * whether the caller has a part of the answer, and how many attempts and how much time are left.
     */
    @ParameterizedTest(name = "idempotent {0}, outcome {1}, answer started {2}, attempts {3}, {4} ms left: {5}")
    @CsvSource({
        "true,  NOT_RUN,      false, 1, 1000, RETRY",
        "true,  MAY_HAVE_RUN, false, 1, 1000, RETRY",
        "false, NOT_RUN,      false, 1, 1000, RETRY",
        "false, MAY_HAVE_RUN, false, 1, 1000, ENDPOINT_FAILED",
        "true,  MAY_HAVE_RUN, true,  1, 1000, ENDPOINT_FAILED",
        "true,  NOT_RUN,      false, 3, 1000, ENDPOINT_FAILED",
        "true,  NOT_RUN,      false, 1, 10,   DEADLINE_EXCEEDED",
        "false, MAY_HAVE_RUN, false, 1, 10,   ENDPOINT_FAILED"
    })
    void aFailureLeadsToARetryOrAFinalRefusal(
            boolean idempotent,
            Outcome outcome,
            boolean answerStarted,
            int attempts,
            long remainingMillis,
            String expected) {
        Optional<Refusal> refusal = policy.giveUp(
                new RetryCase(idempotent, answerStarted, attempts, remainingMillis),
                new AttemptFailure(outcome, false, ""));

        assertThat(refusal.map(found -> found.code().name()).orElse("RETRY")).isEqualTo(expected);
        refusal.ifPresent(found -> assertThat(found.outcome()).isEqualTo(outcome));
    }

    /**
     * Half of the endpoints are lost and every request fails. Without a budget each request would be tried three times;
     * with it, the retries are limited to a burst plus a share of the traffic, and the rest are refused at once.
     */
    @Test
    void retriesAreBoundedByAShareOfTheTraffic() {
        RetryCase retryCase = new RetryCase(true, false, 1, 1000);
        AttemptFailure failure = new AttemptFailure(Outcome.NOT_RUN, false, "");
        int retries = 0;
        for (int request = 0; request < 1000; request++) {
            policy.recordFirstAttempt();
            if (policy.giveUp(retryCase, failure).isEmpty()) {
                retries++;
            }
        }

        assertThat(retries).isBetween(200, 210);
    }

    @Test
    void anExhaustedBudgetReturnsARetryAfterTime() {
        RetryCase retryCase = new RetryCase(true, false, 1, 1000);
        AttemptFailure failure = new AttemptFailure(Outcome.NOT_RUN, false, "");
        for (int i = 0; i < 10; i++) {
            policy.giveUp(retryCase, failure);
        }

        Refusal refusal = policy.giveUp(retryCase, failure).orElseThrow();

        assertThat(refusal.code()).isEqualTo(ErrorCode.OVERLOADED);
        assertThat(refusal.retryAfterSeconds()).contains(1L);
    }
}
