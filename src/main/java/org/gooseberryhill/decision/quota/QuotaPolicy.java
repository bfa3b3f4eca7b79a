package org.gooseberryhill.decision.quota;

import java.util.Map;
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

    /** Replaces what is known of the other hosts. Called ten times a second while this host admits requests, not else. */
    void updateFleet(FleetView view, long nowNanos);

    /** Records that the process of another host has ended, which is more than that nothing is heard of it. */
    void hostEnded(HostId host, long nowNanos);

    /** Decides whether a request may run, and counts it if so. */
    QuotaDecision admit(String account, long nowNanos);

    /** Takes back the count of a request that was admitted and did not run. */
    void giveBack(String account, long nowNanos);

    /** Returns what this host was asked to admit since the last call, for the other hosts. Called ten times a second. */
    QuotaReport takeReport(long nowNanos);

    /** Records what another host was asked to admit since its last report. */
    void record(HostId from, QuotaReport report, long nowNanos);
}
