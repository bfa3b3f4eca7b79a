package org.gooseberryhill.decision.share;

import java.util.List;
import java.util.Optional;
import org.gooseberryhill.host.HostId;

/**
 * Decides at the coordinator of a group of endpoints how much of the longest allowed wait a request may use, by the client account
 * that sent it. Not thread-safe.
 *
 * <p>Invariant: requests of an account that keeps to its share are placed as if all others kept to theirs. A slot is never left
 * free because of this decision, except the few that requests within their shares are about to need.
 */
public interface AccountShares {
    /** Returns whether requests are shared at all; if not, there is nothing to ask or to count. */
    boolean isActive();

    /** Returns what a request may use; the request is not counted yet. */
    WaitAllowance allow(ShareCase request);

    /** Counts a request that was placed. */
    void placed(ShareCase request, WaitAllowance allowance);

    /** Counts a request that was refused because of load. */
    void refused(ShareCase request, WaitAllowance allowance);

    /** Returns the use of slots by account for the coordinators of other groups; empty while nothing is shared. */
    Optional<AccountUseReport> report(long nowNanos);

    /** Returns the changes since the last call: one when accounts get above their shares of a service, one when none is any more. */
    List<ShareChange> takeChanges();

    /** Records the report of another coordinator, in place of its earlier one. */
    void record(HostId from, AccountUseReport report, long nowNanos);
}
