package org.gooseberryhill.decision.dispatch;

/** Baseline policy: callers retry when the requests that wait now have started. Stateless. */
public final class ForecastRetryAfterPolicy implements RetryAfterPolicy {
    @Override
    public long retryAfterMillis(OverloadCase overload) {
        return (long) Math.ceil(overload.waitMillis());
    }
}
