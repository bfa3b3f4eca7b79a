package org.gooseberryhill.decision.quota;

import java.util.HashMap;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import org.gooseberryhill.account.AccountQuota;

/**
 * Decides how many requests a host may run that no host that counts requests has admitted. Not thread-safe.
 *
 * <p>Load pattern: hosts that count requests answer late, since all hosts have just started or their processors are busy.
 * Rejecting requests until they answer would cost many times what the quotas are worth.
 *
 * <p>Invariants: of an account whose quota is used up, as far as this host was told, it admits nothing; of any other account as
 * many as were admitted here before, and {@link #FIRST_TOKENS} at once. A host that gets no answers at all admits a part of
 * that, since its requests are not counted while those of other hosts are.
 */
public final class LocalAllowance {
    /** Requests of an account that a host admits before it knows how many there usually are. */
    private static final double FIRST_TOKENS = 2;

    /** Part of an equal share of a quota that a host admits of an account which it has not seen before. */
    private static final double PART_OF_EQUAL_SHARE = 0.3;

    /** Room for fluctuations of what is usual, while the answers of other hosts arrive, however late. */
    private static final double PART_OF_USUAL = 1.2;

    /** Part of what is usual that a host admits without any answers. */
    private static final double ISOLATED_PART_OF_USUAL = 0.4;

    private static final double BURST_SECONDS = 0.5;
    private static final long ISOLATED_AFTER_NANOS = TimeUnit.MILLISECONDS.toNanos(2000);
    private static final long EXHAUSTED_NANOS = TimeUnit.MILLISECONDS.toNanos(2000);

    private final Map<String, AccountState> states = new HashMap<>();
    private Map<String, AccountQuota> quotas = Map.of();
    private long answeredNanos;

    /** Creates the allowance of a host that has just started. */
    public LocalAllowance(long nowNanos) {
        this.answeredNanos = nowNanos;
    }

    /** Replaces the quotas, by account. */
    public void configure(Map<String, AccountQuota> newQuotas) {
        quotas = Map.copyOf(newQuotas);
        states.keySet().retainAll(quotas.keySet());
    }

    /** Records that a host that counts requests admitted one of this host. */
    public void recordAdmitted(String account, long nowNanos) {
        answeredNanos = nowNanos;
        if (quotas.containsKey(account)) {
            state(account, nowNanos).usual.add(1, nowNanos);
        }
    }

    /** Records that a host that counts requests rejected one of this host, since the account's quota is used up. */
    public void recordRejected(String account, long nowNanos) {
        answeredNanos = nowNanos;
        if (quotas.containsKey(account)) {
            state(account, nowNanos).exhaustedUntilNanos = nowNanos + EXHAUSTED_NANOS;
        }
    }

    /** Records an answer of a host that counts requests, however late. */
    public void recordAnswer(long nowNanos) {
        answeredNanos = nowNanos;
    }

    /** Decides whether a request of an account may run, given the number of hosts that may each decide so. */
    public boolean admit(String account, int hosts, long nowNanos) {
        AccountQuota quota = quotas.get(account);
        if (quota == null) {
            return true;
        }
        AccountState state = state(account, nowNanos);
        if (nowNanos - state.exhaustedUntilNanos < 0) {
            return false;
        }
        boolean isolated = isIsolated(nowNanos);
        double usualPerSecond = state.usual.perSecond(nowNanos);
        double ratePerSecond = (isolated ? ISOLATED_PART_OF_USUAL : PART_OF_USUAL) * usualPerSecond
                + PART_OF_EQUAL_SHARE * quota.ratePerSecond() / hosts;
        state.bucket.resize(ratePerSecond, FIRST_TOKENS + BURST_SECONDS * ratePerSecond, nowNanos);
        if (!state.bucket.take(nowNanos)) {
            return false;
        }
        state.usual.add(1 / PART_OF_USUAL, nowNanos);
        return true;
    }

    /** Returns whether no host that counts requests has answered this one for long. */
    public boolean isIsolated(long nowNanos) {
        return nowNanos - answeredNanos >= ISOLATED_AFTER_NANOS;
    }

    private AccountState state(String account, long nowNanos) {
        return states.computeIfAbsent(account, name -> new AccountState(nowNanos));
    }

    /** What this host knows of an account. */
    private static final class AccountState {
        private final DecayingCount usual = new DecayingCount();
        private final TokenBucket bucket;
        private long exhaustedUntilNanos;

        AccountState(long nowNanos) {
            this.bucket = new TokenBucket(FIRST_TOKENS, nowNanos);
            this.exhaustedUntilNanos = nowNanos;
        }
    }
}
