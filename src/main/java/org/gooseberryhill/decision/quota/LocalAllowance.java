package org.gooseberryhill.decision.quota;

import java.util.HashMap;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import org.gooseberryhill.account.AccountQuota;

/**
 * Decides how many requests a host may run that no host that counts requests has admitted. Not thread-safe.
 *
 * <p>Load pattern: hosts that count requests answer late, since all hosts have just started or their processors are busy.
 * Rejecting requests until they answer would cost many times what the quotas are worth. Or a host is cut off: what it runs is
 * counted nowhere, while the hosts that it does not reach use the whole quota.
 *
 * <p>Invariants:
 *
 * <ul>
 *   <li>Of an account whose quota is used up, as far as this host was told, it admits nothing.
 *   <li>While answers come late, and while none has come since the host started just now, it admits about as many as were admitted
 *       here before: what it asked is counted all the same.
 *   <li>Without any answers, each host admits at once what is usual in {@link #UNCOUNTED_USUAL_SECONDS}, or one request if what is
 *       usual there is enough, and as much again only in {@link #UNCOUNTED_SECONDS}. However many hosts are cut off, they admit
 *       at once no more than a quarter of a second's rate and {@link #UNCOUNTED_REQUESTS}.
 * </ul>
 */
public final class LocalAllowance {
    /** Requests of an account that a host admits while answers come late, before it knows how many there usually are. */
    private static final double FIRST_TOKENS = 1.5;

    /** Part of an equal share of a quota that a host admits of an account which it has not seen before. */
    private static final double PART_OF_EQUAL_SHARE = 0.3;

    /** Room for fluctuations of what is usual, while the answers of other hosts arrive, however late. */
    private static final double PART_OF_USUAL = 1.2;

    private static final double BURST_SECONDS = 0.5;

    /** Time whose usual requests a host admits without any answers. */
    private static final double UNCOUNTED_USUAL_SECONDS = 0.15;

    /** Number of hosts that may admit one request without any answers, for each request a second of the quota. */
    private static final double UNCOUNTED_HOSTS_PER_RATE = 0.1;

    /** Number of hosts that may admit one request without any answers, beside those for the rate. */
    private static final double UNCOUNTED_REQUESTS = 4;

    /** Time after which a host may use again what it has admitted without any answers. */
    private static final double UNCOUNTED_SECONDS = 10;

    private static final long LATE_NANOS = TimeUnit.MILLISECONDS.toNanos(1200);
    private static final long STARTING_NANOS = TimeUnit.MILLISECONDS.toNanos(2000);
    private static final long ISOLATED_AFTER_NANOS = TimeUnit.MILLISECONDS.toNanos(2000);
    private static final long EXHAUSTED_NANOS = TimeUnit.MILLISECONDS.toNanos(2000);

    private final Map<String, AccountState> states = new HashMap<>();
    private final long startNanos;
    private Map<String, AccountQuota> quotas = Map.of();
    private boolean answeredInTime;
    private long answeredNanos;
    private long lateUntilNanos;

    /** Creates the allowance of a host that has just started. */
    public LocalAllowance(long nowNanos) {
        this.startNanos = nowNanos;
        this.answeredNanos = nowNanos;
        this.lateUntilNanos = nowNanos;
    }

    /** Replaces the quotas, by account. */
    public void configure(Map<String, AccountQuota> newQuotas) {
        quotas = Map.copyOf(newQuotas);
        states.keySet().retainAll(quotas.keySet());
    }

    /** Records that a host that counts requests admitted one of this host. */
    public void recordAdmitted(String account, long nowNanos) {
        recordAnswerInTime(nowNanos);
        if (quotas.containsKey(account)) {
            state(account, nowNanos).usual.add(1, nowNanos);
        }
    }

    /** Records that a host that counts requests rejected one of this host, since the account's quota is used up. */
    public void recordRejected(String account, long nowNanos) {
        recordAnswerInTime(nowNanos);
        recordExhausted(account, nowNanos);
    }

    /** Records that an account's quota is used up. */
    public void recordExhausted(String account, long nowNanos) {
        if (quotas.containsKey(account)) {
            state(account, nowNanos).exhaustedUntilNanos = nowNanos + EXHAUSTED_NANOS;
        }
    }

    /** Records that an answer of a host that counts requests came too late to be used. */
    public void recordLateAnswer(long nowNanos) {
        answeredNanos = nowNanos;
        lateUntilNanos = nowNanos + LATE_NANOS;
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
        boolean starting = !answeredInTime && nowNanos - startNanos < STARTING_NANOS;
        boolean counted = starting || nowNanos - lateUntilNanos < 0;
        if (!counted) {
            return admitUncounted(state, quota, nowNanos);
        }
        double ratePerSecond =
                PART_OF_USUAL * state.usual.perSecond(nowNanos) + PART_OF_EQUAL_SHARE * quota.ratePerSecond() / hosts;
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

    private void recordAnswerInTime(long nowNanos) {
        answeredNanos = nowNanos;
        answeredInTime = true;
    }

    private static boolean admitUncounted(AccountState state, AccountQuota quota, long nowNanos) {
        double usualPerSecond = state.usual.perSecond(nowNanos);
        // What is usual at all hosts adds up to the rate at most, so no more hosts than this have the part of it or
        // more.
        double hostsWithOne = UNCOUNTED_HOSTS_PER_RATE * quota.ratePerSecond() + UNCOUNTED_REQUESTS;
        double one = usualPerSecond >= quota.ratePerSecond() / hostsWithOne ? 1 : 0;
        double tokens = Math.max(one, UNCOUNTED_USUAL_SECONDS * usualPerSecond);
        state.uncounted.resize(tokens / UNCOUNTED_SECONDS, tokens, nowNanos);
        return state.uncounted.take(nowNanos);
    }

    private AccountState state(String account, long nowNanos) {
        return states.computeIfAbsent(account, name -> new AccountState(nowNanos));
    }

    /** What this host knows of an account. */
    private static final class AccountState {
        private final DecayingCount usual = new DecayingCount();
        private final TokenBucket bucket;
        private final TokenBucket uncounted;
        private long exhaustedUntilNanos;

        AccountState(long nowNanos) {
            this.bucket = new TokenBucket(FIRST_TOKENS, nowNanos);
            this.uncounted = new TokenBucket(1, nowNanos);
            this.exhaustedUntilNanos = nowNanos;
        }
    }
}
