package org.gooseberryhill.decision.share;

import java.util.List;
import java.util.Optional;
import org.gooseberryhill.host.HostId;

/**
 * Treats the requests of all accounts alike, in the order of their arrival. The baseline, and the decision without client accounts.
 * Stateless.
 */
public final class ArrivalOrder implements AccountShares {
    @Override
    public boolean isActive() {
        return false;
    }

    @Override
    public WaitAllowance allow(ShareCase request) {
        return WaitAllowance.WHOLE;
    }

    @Override
    public void placed(ShareCase request, WaitAllowance allowance) {
        // Nothing depends on who has sent a request.
    }

    @Override
    public void refused(ShareCase request, WaitAllowance allowance) {
        // Nothing depends on who has sent a request.
    }

    @Override
    public Optional<AccountUseReport> report(long nowNanos) {
        return Optional.empty();
    }

    @Override
    public List<ShareChange> takeChanges() {
        return List.of();
    }

    @Override
    public void record(HostId from, AccountUseReport report, long nowNanos) {
        // Nothing depends on other groups.
    }
}
