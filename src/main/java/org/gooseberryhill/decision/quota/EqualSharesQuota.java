package org.gooseberryhill.decision.quota;

import java.util.Collection;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import org.gooseberryhill.account.AccountQuota;
import org.gooseberryhill.host.HostId;

/**
 * Divides the quota of each account equally among the hosts that admit requests. The baseline: it needs no messages, and
 * rejects requests of an account whose requests arrive at few hosts. Not thread-safe.
 */
public final class EqualSharesQuota implements QuotaPolicy {
    private final Map<String, TokenBucket> buckets = new HashMap<>();
    private Map<String, AccountQuota> quotas = Map.of();
    private int hosts = 1;

    @Override
    public void configure(Map<String, AccountQuota> newQuotas, long nowNanos) {
        quotas = Map.copyOf(newQuotas);
        buckets.keySet().retainAll(quotas.keySet());
    }

    @Override
    public void updateParticipants(Collection<HostId> others, boolean majority, long nowNanos) {
        hosts = others.size() + 1;
    }

    @Override
    public Optional<Long> admit(String account, long nowNanos) {
        AccountQuota quota = quotas.get(account);
        if (quota == null) {
            return Optional.empty();
        }
        TokenBucket bucket = buckets.computeIfAbsent(account, name -> new TokenBucket(0, nowNanos));
        bucket.resize(quota.ratePerSecond() / hosts, quota.burst() / hosts + 1, nowNanos);
        return bucket.take(nowNanos)
                ? Optional.empty()
                : Optional.of(TimeUnit.NANOSECONDS.toMillis(bucket.nanosUntilToken(nowNanos)) + 1);
    }

    @Override
    public void giveBack(String account, long nowNanos) {
        Optional.ofNullable(buckets.get(account)).ifPresent(bucket -> bucket.giveBack(nowNanos));
    }

    @Override
    public void contacted(long nowNanos) {
        // Shares do not depend on other hosts.
    }

    @Override
    public QuotaReport takeReport(long nowNanos) {
        return QuotaReport.EMPTY;
    }

    @Override
    public void record(HostId from, QuotaReport report, long nowNanos) {
        // Shares do not depend on demand.
    }
}
