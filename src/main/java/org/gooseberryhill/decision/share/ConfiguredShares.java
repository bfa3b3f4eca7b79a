package org.gooseberryhill.decision.share;

import java.util.Map;
import java.util.Random;
import org.gooseberryhill.account.AccountQuota;

/** Chooses how slots are shared by whether the configuration has client accounts. Stateless. */
public final class ConfiguredShares {
    private ConfiguredShares() {}

    /**
     * Returns the decision for a configuration; what the current one has counted is kept while there are accounts.
     *
     * @param hasAccounts whether the configuration has client accounts
     * @param quotas the quotas, by account
     */
    public static AccountShares of(
            AccountShares current, boolean hasAccounts, Map<String, AccountQuota> quotas, Random random) {
        if (!hasAccounts) {
            return new ArrivalOrder();
        }
        WeightedShares shares = current instanceof WeightedShares weighted ? weighted : new WeightedShares(random);
        shares.configure(quotas);
        return shares;
    }
}
