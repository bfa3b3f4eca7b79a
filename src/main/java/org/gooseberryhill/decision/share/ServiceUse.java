package org.gooseberryhill.decision.share;

import java.util.Map;

/**
 * The recent requests for one service at one coordinator. Immutable.
 *
 * @param observedMillis how long the coordinator has counted requests for the service
 * @param byAccount the accounts that sent most of late, by name; the empty name stands for requests without an account
 * @param others the remaining accounts together
 */
public record ServiceUse(long observedMillis, Map<String, AccountUse> byAccount, AccountUse others) {}
