package org.gooseberryhill.decision.quota;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.List;
import java.util.concurrent.TimeUnit;
import org.gooseberryhill.account.AccountQuota;

/** A client account of a {@link FleetQuotaReplay}, with its clients and its bound. Not thread-safe. */
final class FleetQuotaAccount {
    private static final double QUOTA_OF_USUAL = 1.6;
    private static final double WINDOW_SECONDS = 5;
    private static final long WINDOW_NANOS = TimeUnit.SECONDS.toNanos(5);

    /** Usual requests a second. */
    final double usual;

    /** Hosts of the clients. */
    final List<Integer> clients;

    final String name;

    /** An ideal limit, which sees all requests at once. */
    final TokenBucket ideal;

    /** How many times its usual the account asks for. */
    double factor = 1;

    private final Deque<Long> admittedNanos = new ArrayDeque<>();
    private AccountQuota bound;

    /**
     * Creates an account that asks for its usual.
     *
     * @param usual requests a second
     * @param clients the hosts of its clients
     */
    FleetQuotaAccount(String name, double usual, List<Integer> clients, long nowNanos) {
        this.name = name;
        this.usual = usual;
        this.clients = clients;
        this.bound = quota(usual);
        this.ideal = new TokenBucket(bound.burst(), nowNanos);
        ideal.resize(bound.ratePerSecond(), bound.burst(), nowNanos);
    }

    static AccountQuota quota(double usual) {
        return new AccountQuota(usual * QUOTA_OF_USUAL, usual * QUOTA_OF_USUAL);
    }

    /** Returns the quota that bounds the account. */
    AccountQuota bound() {
        return bound;
    }

    /** Replaces the quota that bounds the account from now on. */
    void bind(AccountQuota quota) {
        bound = quota;
        admittedNanos.clear();
    }

    /** Counts a request that runs, and compares the last window with the bound. */
    void recordAdmitted(long atNanos, FleetQuotaResult result) {
        admittedNanos.addLast(atNanos);
        while (atNanos - admittedNanos.peekFirst() > WINDOW_NANOS) {
            admittedNanos.removeFirst();
        }
        double allowed = (bound.ratePerSecond() * WINDOW_SECONDS + bound.burst()) * 1.1 + 20;
        result.recordExcess(name, admittedNanos.size() - allowed);
    }
}
