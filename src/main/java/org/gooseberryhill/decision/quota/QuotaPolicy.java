package org.gooseberryhill.decision.quota;

import java.util.Collection;
import java.util.Map;
import java.util.Optional;
import org.gooseberryhill.account.AccountQuota;
import org.gooseberryhill.host.HostId;

/**
 * Decides on one of the hosts that admit requests whether a request of a client account may run. The host tells the others
 * which requests it was asked to admit. Not thread-safe.
 *
 * <p>Invariant: of all hosts together, however they reach each other, no more requests of an account are admitted in any time
 * than its quota allows for that time, but for a small excess that the implementation states.
 */
public interface QuotaPolicy {
    /** Replaces the quotas, by account; accounts that are absent are not limited. */
    void configure(Map<String, AccountQuota> quotas, long nowNanos);

    /**
     * Replaces the other hosts that admit requests.
     *
     * @param majority whether this host is in touch with more than half of the fleet
     */
    void updateParticipants(Collection<HostId> others, boolean majority, long nowNanos);

    /**
     * Decides whether a request may run, and counts it if so.
     *
     * @return empty if it may run; else the time in milliseconds after which it may come back
     */
    Optional<Long> admit(String account, long nowNanos);

    /** Takes back the count of a request that was admitted and did not run. */
    void giveBack(String account, long nowNanos);

    /** Records that another host has sent a message of any kind: this host is not cut off from all others. */
    void contacted(long nowNanos);

    /** Returns what this host was asked to admit since the last call, for the other hosts. Called ten times a second. */
    QuotaReport takeReport(long nowNanos);

    /** Records what another host was asked to admit since its last report. */
    void record(HostId from, QuotaReport report, long nowNanos);
}
