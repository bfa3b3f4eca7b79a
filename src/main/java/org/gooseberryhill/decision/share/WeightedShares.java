package org.gooseberryhill.decision.share;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Random;
import java.util.concurrent.TimeUnit;
import org.gooseberryhill.account.AccountQuota;
import org.gooseberryhill.host.HostId;

/**
 * Shares the slots of a service by weight between the accounts that ask for them. Not thread-safe.
 *
 * <p>Load pattern: of some 80 accounts, most of them small, one to three send 3 to 20 times their usual rate for some seconds, so that up
 * to 2.5 times as much is asked for as the slots can take.
 */
public final class WeightedShares implements AccountShares {
    /**
     * Slots that are kept for requests within their shares, as a multiple of the square root of the slots, by which the number of free
     * ones fluctuates.
     */
    static final double KEPT_FLUCTUATIONS = 0.5;

    /** Time without any recorded use after a start, in which requests are served in the order of their arrival. */
    private static final long LEARNING_NANOS = TimeUnit.SECONDS.toNanos(1);

    /** Time for which slots count as contended after a request has found none but the kept ones free. */
    private static final long CONTENDED_NANOS = TimeUnit.SECONDS.toNanos(3);

    private static final long LEVEL_PERIOD_NANOS = TimeUnit.MILLISECONDS.toNanos(50);

    /** Weight of an account without usual requests, so that a new one is served. */
    private static final double MIN_WEIGHT = 0.5;

    /** While accounts within their shares send less than this, nothing is kept for them. */
    private static final double MIN_WITHIN_PER_SECOND = 1;

    /** Part of the placed requests that the shares divide at least, however evenly the accounts ask for them. */
    private static final double MIN_DIVIDED_PART = 0.5;

    /**
     * Above this multiple of the typical account's level an account is above its share before any request is refused, so that it
     * fills no queue at the start of a surge. Below it accounts fluctuate.
     */
    private static final double SURGE_LEVEL = 1.4;

    /** Standard deviations by which a small account's requests at random times may exceed its share. */
    private static final double TOLERATED_DEVIATIONS = 1.5;

    /** Part of its share that an account above its share may use like one within it. */
    private static final double PROTECTED_PART = 0.9;

    /** An account is within its share if it is served less than this part as often as all accounts together. */
    private static final double MIN_SERVED_PART = 0.25;

    /** Part of the share of an account that retries get; new requests use the rest. */
    private static final double RETRY_PART = 0.1;

    /** Longest retry time as a share of the time until the deadline: callers wait no longer. */
    private static final double MAX_RETRY_SHARE_OF_REMAINING = 1.0 / 3;

    /** Retry times above the longest one are spread over this last part of the range up to it. */
    private static final double SPREAD_SHARE = 0.1;

    private static final String NO_ACCOUNT = "";

    private final Random random;
    private final Map<String, Shared> services = new HashMap<>();
    private final List<ShareChange> changes = new ArrayList<>();
    private Map<String, AccountQuota> quotas = Map.of();

    /** Creates the policy of a coordinator that has counted nothing yet. */
    public WeightedShares(Random random) {
        this.random = random;
    }

    /** Replaces the quotas, by account, whose rates are weights. */
    public void configure(Map<String, AccountQuota> newQuotas) {
        quotas = Map.copyOf(newQuotas);
    }

    @Override
    public boolean isActive() {
        return true;
    }

    @Override
    public WaitAllowance allow(ShareCase request) {
        Shared service = service(request);
        int keptSlots = keptSlots(request.slots());
        if (request.freeSlots() <= keptSlots) {
            service.contendedNanos = request.nowNanos();
            service.wasContended = true;
        }
        if (service.uses.observedNanos(request.nowNanos()) < LEARNING_NANOS) {
            return WaitAllowance.WHOLE;
        }
        service.updateLevel(request.nowNanos());
        String account = request.account().orElse(NO_ACCOUNT);
        AccountUse use = service.uses.use(account, request.nowNanos());
        double sharePerSecond = service.level * weight(account, use, service.observedPart);
        if (isWithinShare(use, sharePerSecond, service)) {
            return service.someAbove ? WaitAllowance.PREFERRED : WaitAllowance.WHOLE;
        }
        if (request.freeSlots() > keptSlots) {
            return WaitAllowance.FREE_SLOT;
        }
        ShareFacts facts = new ShareFacts(
                use.askedPerSecond(), use.placedPerSecond(), sharePerSecond, request.freeSlots(), keptSlots);
        long retryAfterMillis = retryAfterMillis(service.uses.own(account), facts, request);
        return WaitAllowance.refuse(new WaitAllowance.Excess(retryAfterMillis, facts));
    }

    @Override
    public void placed(ShareCase request, WaitAllowance allowance) {
        ServiceShares.OwnUse own = service(request).uses.own(request.account().orElse(NO_ACCOUNT));
        own.arrived(allowance.isWithinShare(), request.nowNanos());
        own.placed(request.nowNanos());
    }

    @Override
    public void refused(ShareCase request, WaitAllowance allowance) {
        service(request)
                .uses
                .own(request.account().orElse(NO_ACCOUNT))
                .arrived(allowance.isWithinShare(), request.nowNanos());
    }

    @Override
    public Optional<AccountUseReport> report(long nowNanos) {
        Map<String, ServiceUse> byService = new HashMap<>();
        services.forEach((name, service) -> {
            service.updateLevel(nowNanos);
            if (service.isContended(nowNanos)) {
                byService.put(name, service.uses.report(nowNanos));
            }
        });
        return byService.isEmpty() ? Optional.empty() : Optional.of(new AccountUseReport(byService));
    }

    @Override
    public List<ShareChange> takeChanges() {
        if (changes.isEmpty()) {
            return List.of();
        }
        List<ShareChange> taken = List.copyOf(changes);
        changes.clear();
        return taken;
    }

    @Override
    public void record(HostId from, AccountUseReport report, long nowNanos) {
        report.byService()
                .forEach((name, use) -> services.computeIfAbsent(name, key -> new Shared(name, nowNanos))
                        .uses
                        .record(from, use, nowNanos));
    }

    private Shared service(ShareCase request) {
        return services.computeIfAbsent(request.service(), name -> new Shared(name, request.nowNanos()));
    }

    private static int keptSlots(int slots) {
        return (int) Math.ceil(KEPT_FLUCTUATIONS * Math.sqrt(slots));
    }

    private double weight(String account, AccountUse use, double observedPart) {
        AccountQuota quota = quotas.get(account);
        double weight = quota == null ? use.usualPerSecond() / observedPart : quota.ratePerSecond();
        return Math.max(MIN_WEIGHT, weight);
    }

    private static boolean isWithinShare(AccountUse use, double sharePerSecond, Shared service) {
        return !asksForMore(use, sharePerSecond)
                || use.placedPerSecond() < PROTECTED_PART * sharePerSecond
                || use.placedPerSecond() < MIN_SERVED_PART * service.servedPart * use.askedPerSecond();
    }

    /** Returns whether an account asks for more than its share, by more than requests at random times fluctuate. */
    private static boolean asksForMore(AccountUse use, double sharePerSecond) {
        return use.askedPerSecond() > sharePerSecond + 1 + TOLERATED_DEVIATIONS * Math.sqrt(sharePerSecond);
    }

    private long retryAfterMillis(ServiceShares.OwnUse own, ShareFacts facts, ShareCase request) {
        double ownPart = own.askedPerSecond(request.nowNanos()) / facts.askedPerSecond();
        double perSecond = Math.max(facts.sharePerSecond() * ownPart, 1e-3);
        long gapNanos = (long) (TimeUnit.SECONDS.toNanos(1) / (RETRY_PART * perSecond));
        long maxNanos =
                (long) (TimeUnit.MILLISECONDS.toNanos(request.remainingMillis()) * MAX_RETRY_SHARE_OF_REMAINING);
        long earliestNanos = request.nowNanos() + (long) (TimeUnit.SECONDS.toNanos(1) / perSecond);
        long retryNanos = own.nextRetryNanos(earliestNanos) - request.nowNanos();
        if (retryNanos > maxNanos) {
            retryNanos = (long) (maxNanos * (1 - SPREAD_SHARE * random.nextDouble()));
        } else {
            own.retryTaken(request.nowNanos() + retryNanos + gapNanos);
        }
        return Math.max(1, TimeUnit.NANOSECONDS.toMillis(retryNanos));
    }

    /** The use of a service by account, and the rate for each unit of weight that follows from it. */
    private final class Shared {
        private final ServiceShares uses;
        private final String name;
        private boolean someAbove;
        private boolean announced;
        private boolean wasContended;
        private long contendedNanos;
        private long levelNanos = Long.MIN_VALUE;
        private double level = Double.POSITIVE_INFINITY;
        private double servedPart = 1;
        private double observedPart = 1;

        Shared(String name, long nowNanos) {
            this.name = name;
            this.uses = new ServiceShares(nowNanos);
        }

        /** Determines whether accounts are above their shares; announced once until the slots are not contended any more. */
        private void noteAbove(Map<String, AccountUse> all) {
            Optional<Map.Entry<String, AccountUse>> furthest = all.entrySet().stream()
                    .filter(entry -> asksForMore(entry.getValue(), share(entry)))
                    .max(Comparator.comparingDouble(entry -> entry.getValue().askedPerSecond() / share(entry)));
            double withinPerSecond = all.entrySet().stream()
                    .filter(entry -> !asksForMore(entry.getValue(), share(entry)))
                    .mapToDouble(entry -> entry.getValue().askedPerSecond())
                    .sum();
            someAbove = furthest.isPresent() && withinPerSecond >= MIN_WITHIN_PER_SECOND;
            if (furthest.isPresent() && !someAbove) {
                level = Double.POSITIVE_INFINITY;
            }
            if (someAbove && !announced) {
                announced = true;
                Map.Entry<String, AccountUse> above = furthest.get();
                changes.add(new ShareChange(name, true, above.getKey(), above.getValue(), share(above)));
            }
        }

        private double share(Map.Entry<String, AccountUse> entry) {
            return level * weight(entry.getKey(), entry.getValue(), observedPart);
        }

        boolean isContended(long nowNanos) {
            return wasContended && nowNanos - contendedNanos < CONTENDED_NANOS;
        }

        void updateLevel(long nowNanos) {
            if (levelNanos != Long.MIN_VALUE && nowNanos - levelNanos < LEVEL_PERIOD_NANOS) {
                return;
            }
            levelNanos = nowNanos;
            if (!isContended(nowNanos)) {
                level = Double.POSITIVE_INFINITY;
                someAbove = false;
                if (announced) {
                    announced = false;
                    changes.add(new ShareChange(name, false, NO_ACCOUNT, AccountUse.NONE, 0));
                }
                return;
            }
            observedPart = uses.observedPart(nowNanos);
            List<FairLevel.Demand> demands = new ArrayList<>();
            double asked = 0;
            double placed = 0;
            Map<String, AccountUse> all = uses.uses(nowNanos);
            for (Map.Entry<String, AccountUse> entry : all.entrySet()) {
                AccountUse use = entry.getValue();
                demands.add(new FairLevel.Demand(use.askedPerSecond(), weight(entry.getKey(), use, observedPart)));
                asked += use.askedPerSecond();
                placed += use.placedPerSecond();
            }
            level = Math.min(
                    FairLevel.of(demands, placed),
                    Math.max(
                            FairLevel.of(demands, MIN_DIVIDED_PART * placed),
                            SURGE_LEVEL * FairLevel.typical(demands)));
            noteAbove(all);
            servedPart = asked == 0 ? 1 : placed / asked;
        }
    }
}
