package org.gooseberryhill.decision.replay;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Random;
import java.util.Set;
import java.util.stream.IntStream;
import org.gooseberryhill.account.Caller;
import org.gooseberryhill.account.ClientAccount;

/**
 * The client accounts of a replayed load, whose shares of it fall with their rank to the power 1.2, and the multiples of their usual
 * rates that they send now.
 */
final class AccountLoad {
    /** The load of a deployment without accounts. */
    static final AccountLoad NONE = new AccountLoad(0);

    private static final double RANK_EXPONENT = 1.2;

    private final List<Caller> callers;
    private final double[] usualShares;
    private final Map<Integer, Double> factors = new HashMap<>();
    private final Map<String, Integer> pinnedHosts = new HashMap<>();

    AccountLoad(int accounts) {
        callers = IntStream.range(0, accounts)
                .mapToObj(number -> Caller.of(new ClientAccount(name(number), Set.of(), Optional.empty())))
                .toList();
        double total =
                IntStream.range(0, accounts).mapToDouble(AccountLoad::byRank).sum();
        usualShares = IntStream.range(0, accounts)
                .mapToDouble(number -> byRank(number) / total)
                .toArray();
    }

    static String name(int number) {
        return "account-" + number;
    }

    /** Lets an account, by its rank from 0, send a multiple of its usual rate. */
    void setFactor(int number, double factor) {
        factors.put(number, factor);
    }

    /** Lets all accounts send their usual rates. */
    void clearFactors() {
        factors.clear();
    }

    /** Lets an account use one host only. */
    void pin(int number, int host) {
        pinnedHosts.put(name(number), host);
    }

    Optional<Integer> pinned(String account) {
        return Optional.ofNullable(pinnedHosts.get(account));
    }

    /** Returns the rate of all accounts together as a multiple of the usual one. */
    double rateFactor() {
        double factor = 1;
        for (Map.Entry<Integer, Double> entry : factors.entrySet()) {
            factor += usualShares[entry.getKey()] * (entry.getValue() - 1);
        }
        return factor;
    }

    /** Returns who sends the next call. */
    Caller next(Random random) {
        if (callers.isEmpty()) {
            return Caller.UNATTRIBUTED;
        }
        double left = random.nextDouble() * rateFactor();
        for (int number = 0; number < usualShares.length; number++) {
            left -= usualShares[number] * factors.getOrDefault(number, 1.0);
            if (left < 0) {
                return callers.get(number);
            }
        }
        return callers.get(callers.size() - 1);
    }

    private static double byRank(int number) {
        return Math.pow(number + 1, -RANK_EXPONENT);
    }
}
