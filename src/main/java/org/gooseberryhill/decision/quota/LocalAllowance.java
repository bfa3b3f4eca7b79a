package org.gooseberryhill.decision.quota;

import java.util.HashMap;
import java.util.Map;
import org.gooseberryhill.account.AccountQuota;

/**
 * Decides how many requests a host may run when no host that counts requests answers it. Not thread-safe.
 *
 * <p>Load pattern: all hosts start at once, and those that count requests answer late, since their processors are busy.
 *
 * <p>Invariant: of one account, a host admits one request at once, and a small part of an equal share of the quota after it. The
 * clients of an account use few hosts, so that all hosts together stay within the excess that quotas allow for.
 */
public final class LocalAllowance {
    private static final double PART_OF_EQUAL_SHARE = 0.1;
    private static final double CAPACITY = 1;

    private final Map<String, TokenBucket> buckets = new HashMap<>();
    private Map<String, AccountQuota> quotas = Map.of();

    /** Replaces the quotas, by account. */
    public void configure(Map<String, AccountQuota> newQuotas) {
        quotas = Map.copyOf(newQuotas);
        buckets.keySet().retainAll(quotas.keySet());
    }

    /** Decides whether a request of an account may run, given the number of hosts that may each decide so. */
    public boolean admit(String account, int hosts, long nowNanos) {
        AccountQuota quota = quotas.get(account);
        if (quota == null) {
            return true;
        }
        TokenBucket bucket = buckets.computeIfAbsent(account, name -> new TokenBucket(CAPACITY, nowNanos));
        bucket.resize(PART_OF_EQUAL_SHARE * quota.ratePerSecond() / hosts, CAPACITY, nowNanos);
        return bucket.take(nowNanos);
    }
}
