package org.gooseberryhill.decision.share;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import org.gooseberryhill.host.HostId;

/** The use of the slots of one service by account, at this coordinator and as others have reported it. Not thread-safe. */
final class ServiceShares {
    /** About the time that a streamed request holds its slot, so that the rates follow the slots in use. */
    private static final long RECENT_NANOS = TimeUnit.SECONDS.toNanos(1);

    private static final long USUAL_NANOS = TimeUnit.SECONDS.toNanos(60);

    /** A report older than this belongs to a lost or unreachable coordinator. */
    private static final long MAX_REPORT_AGE_NANOS = TimeUnit.SECONDS.toNanos(2);

    /** Accounts with the most requests, which are reported one by one. */
    private static final int MAX_REPORTED_ACCOUNTS = 32;

    /** An account without requests for about ten minutes is removed. */
    private static final double NEGLIGIBLE_PER_SECOND = 1e-6;

    private final long startNanos;
    private final Map<String, OwnUse> own = new HashMap<>();
    private final Map<HostId, Received> received = new HashMap<>();

    ServiceShares(long nowNanos) {
        this.startNanos = nowNanos;
    }

    OwnUse own(String account) {
        return own.computeIfAbsent(account, name -> new OwnUse());
    }

    long observedNanos(long nowNanos) {
        return nowNanos - startNanos;
    }

    void record(HostId from, ServiceUse use, long nowNanos) {
        received.put(from, new Received(use, nowNanos));
    }

    /** Returns the use of an account over all groups. */
    AccountUse use(String account, long nowNanos) {
        OwnUse counted = own.get(account);
        AccountUse total = counted == null ? AccountUse.NONE : counted.at(nowNanos);
        for (Received report : received.values()) {
            AccountUse reported = report.use.byAccount().get(account);
            if (reported != null && report.isFresh(nowNanos)) {
                total = total.plus(reported.decayed(report.part(nowNanos)));
            }
        }
        return total;
    }

    /** Returns the use of all accounts over all groups; accounts that are reported together count as one. */
    Map<String, AccountUse> uses(long nowNanos) {
        Map<String, AccountUse> uses = new HashMap<>();
        own.forEach((account, counted) -> uses.put(account, counted.at(nowNanos)));
        received.forEach((host, report) -> {
            if (report.isFresh(nowNanos)) {
                double part = report.part(nowNanos);
                report.use
                        .byAccount()
                        .forEach((account, use) -> uses.merge(account, use.decayed(part), AccountUse::plus));
                uses.put("\n" + host.value(), report.use.others().decayed(part));
            }
        });
        return uses;
    }

    /**
     * Returns the part of a minute's events that the usual rates contain; 1 once a coordinator has counted for some minutes. A
     * coordinator that has just started contributes little to the sums, so that the others' observations prevail.
     */
    double observedPart(long nowNanos) {
        double longestNanos = observedNanos(nowNanos);
        for (Received report : received.values()) {
            if (report.isFresh(nowNanos)) {
                longestNanos = Math.max(longestNanos, TimeUnit.MILLISECONDS.toNanos(report.use.observedMillis()));
            }
        }
        return 1 - Math.exp(-longestNanos / USUAL_NANOS);
    }

    /** Returns the use at this coordinator, and removes what has no influence any more. */
    ServiceUse report(long nowNanos) {
        received.values().removeIf(report -> !report.isFresh(nowNanos));
        own.values().removeIf(counted -> counted.usual.perSecond(nowNanos) < NEGLIGIBLE_PER_SECOND);
        List<Map.Entry<String, AccountUse>> entries = new ArrayList<>();
        own.forEach((account, counted) -> entries.add(Map.entry(account, counted.at(nowNanos))));
        entries.sort(Comparator.comparingDouble((Map.Entry<String, AccountUse> entry) ->
                        entry.getValue().askedPerSecond())
                .reversed());
        Map<String, AccountUse> largest = new HashMap<>();
        AccountUse others = AccountUse.NONE;
        for (Map.Entry<String, AccountUse> entry : entries) {
            if (largest.size() < MAX_REPORTED_ACCOUNTS) {
                largest.put(entry.getKey(), entry.getValue());
            } else {
                others = others.plus(entry.getValue());
            }
        }
        return new ServiceUse(TimeUnit.NANOSECONDS.toMillis(observedNanos(nowNanos)), largest, others);
    }

    /** The requests of one account at this coordinator. */
    static final class OwnUse {
        private final DecayingRate asked = new DecayingRate(RECENT_NANOS);
        private final DecayingRate placed = new DecayingRate(RECENT_NANOS);
        private final DecayingRate usual = new DecayingRate(USUAL_NANOS);

        /** When the next refused request is to be retried; retries before it are taken. */
        private long nextRetryNanos = Long.MIN_VALUE;

        void arrived(boolean withinShare, long nowNanos) {
            asked.add(nowNanos);
            if (withinShare) {
                usual.add(nowNanos);
            }
        }

        void placed(long nowNanos) {
            placed.add(nowNanos);
        }

        AccountUse at(long nowNanos) {
            return new AccountUse(asked.perSecond(nowNanos), placed.perSecond(nowNanos), usual.perSecond(nowNanos));
        }

        double askedPerSecond(long nowNanos) {
            return asked.perSecond(nowNanos);
        }

        /** Returns the time for the next retry, not before the earliest one. */
        long nextRetryNanos(long earliestNanos) {
            boolean hasEarlier = nextRetryNanos != Long.MIN_VALUE && nextRetryNanos - earliestNanos > 0;
            return hasEarlier ? nextRetryNanos : earliestNanos;
        }

        /** Records when the retry after one that was just handed out may follow. */
        void retryTaken(long followingNanos) {
            nextRetryNanos = followingNanos;
        }
    }

    /** A report of another coordinator, whose recent requests decay from its arrival on. */
    private record Received(ServiceUse use, long nanos) {
        boolean isFresh(long nowNanos) {
            return nowNanos - nanos < MAX_REPORT_AGE_NANOS;
        }

        double part(long nowNanos) {
            return Math.exp(-(double) (nowNanos - nanos) / RECENT_NANOS);
        }
    }
}
