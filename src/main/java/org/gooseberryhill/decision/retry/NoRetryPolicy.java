package org.gooseberryhill.decision.retry;

import java.util.Optional;
import org.gooseberryhill.contract.ErrorCode;
import org.gooseberryhill.contract.Refusal;

/** Never retries; the baseline for comparisons. Stateless. */
public final class NoRetryPolicy implements RetryPolicy {
    @Override
    public Optional<Refusal> giveUp(RetryCase retryCase, AttemptFailure failure) {
        return Optional.of(
                new Refusal(ErrorCode.ENDPOINT_FAILED, failure.outcome(), "the endpoint failed", Optional.empty()));
    }
}
