package org.gooseberryhill.decision.quota;

import java.util.Collection;
import java.util.HashMap;
import java.util.LinkedHashSet;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import org.gooseberryhill.account.AccountQuota;
import org.gooseberryhill.host.HostId;

/**
 * Counts the requests of each account that all hosts admit, and limits each host to its share of them. Not thread-safe.
 *
 * <p>Load pattern: some ten hosts admit requests of a hundred accounts, most of them small, whose few clients each stay at one
 * host; an account asks for eight times its usual. Equal shares reject requests of accounts that are far below their quota.
 * A common count alone is a tenth of a second old, in which a large account that asks for many times its quota exceeds it; a
 * share by demand alone is too small for the next request of a small account.
 *
 * <p>Invariants:
 *
 * <ul>
 *   <li>A request is admitted only if the count of all hosts and the share of this one both allow it. The shares of all hosts add
 *       up to little more than the quota; they bound what runs before the counts agree.
 *   <li>Shares are computed from what the hosts have told each other, not from what one of them knows better, so that they add
 *       up as intended, but for messages in transit.
 *   <li>A host that no other host contacts any more uses a small part of its share, before the others take the share over, and
 *       soon admits nothing.
 *   <li>A host that has just started does not know what ran before: its count begins without a burst, unless a host that
 *       has run for longer tells it.
 * </ul>
 */
public final class CountedSharesQuota implements QuotaPolicy {
    /** Requests beyond the burst that the common count admits; a small quota alone would reject two requests at once. */
    private static final double COUNT_MARGIN = 8;

    /** Requests beyond its share of the burst that a host admits while the common count rejects none. */
    private static final double SHARE_MARGIN = 5;

    /** How much greater than its part of the quota a host's share is, since the demand at a host fluctuates. */
    private static final double SHARE_EXCESS = 2;

    /** Part of a quota that is divided equally, so that a host without demand can admit the first requests. */
    private static final double EQUAL_PART = 0.05;

    /** Part of its share that a host uses while no other host contacts it. */
    private static final double ISOLATED_PART = 0.1;

    /** Time for whose requests a share has room while the common count rejects requests. */
    private static final double EXHAUSTED_ROOM_SECONDS = 0.2;

    /** Time for which an account counts as exhausted after the common count has rejected one of its requests. */
    private static final long EXHAUSTED_NANOS = TimeUnit.MILLISECONDS.toNanos(2000);

    /** Reports come ten times a second. */
    private static final long STALE_NANOS = TimeUnit.MILLISECONDS.toNanos(400);

    /** Time after which the others take over the share of a host that they do not hear; it has noticed that it is cut off. */
    private static final long TAKEN_OVER_NANOS = TimeUnit.MILLISECONDS.toNanos(450);

    /** Time for which a host that is cut off admits some requests. */
    private static final long ISOLATED_NANOS = TimeUnit.MILLISECONDS.toNanos(3000);

    /** A host that starts learns of others within this time. */
    private static final long ALONE_AFTER_NANOS = TimeUnit.MILLISECONDS.toNanos(2000);

    /** What ran before this time does not count any more in the windows of quotas. */
    private static final long SETTLED_AFTER_NANOS = TimeUnit.MILLISECONDS.toNanos(5000);

    private static final long MAX_RETRY_AFTER_MILLIS = 5000;

    private final HostId self;
    private final long startNanos;
    private final Map<String, AccountState> states = new HashMap<>();
    private final Map<HostId, Long> heardNanos = new HashMap<>();
    private Map<String, AccountQuota> quotas = Map.of();
    private Set<HostId> expected = Set.of();
    private boolean majority;
    private long contactedNanos;

    /** Creates the policy of a host that has just started. */
    public CountedSharesQuota(HostId self, long nowNanos) {
        this.self = self;
        this.startNanos = nowNanos;
        this.contactedNanos = nowNanos;
    }

    @Override
    public void configure(Map<String, AccountQuota> newQuotas, long nowNanos) {
        quotas = Map.copyOf(newQuotas);
        states.keySet().retainAll(quotas.keySet());
    }

    @Override
    public void updateParticipants(Collection<HostId> others, boolean newMajority, long nowNanos) {
        expected = Set.copyOf(others);
        majority = newMajority;
        heardNanos.keySet().removeIf(host -> !expected.contains(host) && !isFresh(host, nowNanos));
    }

    @Override
    public Optional<Long> admit(String account, long nowNanos) {
        AccountQuota quota = quotas.get(account);
        if (quota == null) {
            return Optional.empty();
        }
        AccountState state = state(account, quota, nowNanos);
        state.asked++;
        resizeShare(state, quota, nowNanos);
        boolean counted = state.count.hasToken(nowNanos);
        if (!counted) {
            state.exhaustedUntilNanos = nowNanos + EXHAUSTED_NANOS;
        }
        if (!counted || !state.share.take(nowNanos)) {
            return Optional.of(state.retryAfterMillis(nowNanos));
        }
        state.count.remove(1, nowNanos);
        state.admitted++;
        return Optional.empty();
    }

    @Override
    public void giveBack(String account, long nowNanos) {
        AccountState state = states.get(account);
        if (state != null) {
            state.admitted--;
            state.count.giveBack(nowNanos);
            state.share.giveBack(nowNanos);
        }
    }

    @Override
    public void contacted(long nowNanos) {
        contactedNanos = nowNanos;
    }

    @Override
    public QuotaReport takeReport(long nowNanos) {
        Map<String, AccountActivity> activities = new HashMap<>();
        states.forEach((account, state) -> {
            if (state.asked != 0 || state.admitted != 0) {
                activities.put(account, state.takeActivity(nowNanos));
                state.addDemand(self, activities.get(account).asked(), nowNanos);
            }
        });
        return new QuotaReport(isSettled(nowNanos), activities);
    }

    @Override
    public void record(HostId from, QuotaReport report, long nowNanos) {
        heardNanos.put(from, nowNanos);
        contactedNanos = nowNanos;
        report.activities().forEach((account, activity) -> {
            AccountQuota quota = quotas.get(account);
            if (quota != null) {
                AccountState state = state(account, quota, nowNanos);
                state.addDemand(from, activity.asked(), nowNanos);
                if (state.startsEmpty && report.settled()) {
                    state.startsEmpty = false;
                    state.count.set(activity.tokens(), nowNanos);
                } else {
                    state.count.remove(activity.admitted(), nowNanos);
                }
            }
        });
    }

    private AccountState state(String account, AccountQuota quota, long nowNanos) {
        AccountState state = states.computeIfAbsent(account, name -> newState(quota, nowNanos));
        state.count.resize(quota.ratePerSecond(), quota.burst() + COUNT_MARGIN, nowNanos);
        return state;
    }

    /** An account that nobody has asked for since this host settled has its whole burst. */
    private AccountState newState(AccountQuota quota, long nowNanos) {
        boolean settled = isSettled(nowNanos);
        double tokens = settled ? quota.burst() + COUNT_MARGIN : COUNT_MARGIN;
        return new AccountState(!settled, tokens, nowNanos);
    }

    private void resizeShare(AccountState state, AccountQuota quota, long nowNanos) {
        double part = usablePart(state, nowNanos);
        double rate = part * quota.ratePerSecond();
        if (part == 0) {
            state.share.resize(0, 0, nowNanos);
        } else if (nowNanos - state.exhaustedUntilNanos < 0) {
            double room = Math.min(part * quota.burst(), rate * EXHAUSTED_ROOM_SECONDS);
            state.share.resize(rate, room + 1, nowNanos);
        } else {
            state.share.resize(SHARE_EXCESS * rate, SHARE_EXCESS * part * quota.burst() + SHARE_MARGIN, nowNanos);
        }
    }

    /** Returns the part of the quota that this host may use now. */
    private double usablePart(AccountState state, long nowNanos) {
        boolean alone = expected.isEmpty() && nowNanos - startNanos >= ALONE_AFTER_NANOS;
        long uncontactedNanos = nowNanos - contactedNanos;
        if (majority && (alone || uncontactedNanos < STALE_NANOS)) {
            return part(state, nowNanos);
        }
        return uncontactedNanos < ISOLATED_NANOS ? ISOLATED_PART * part(state, nowNanos) : 0;
    }

    /** Returns this host's part of the quota; it stays as it is until the share of a host that fell silent is taken over. */
    private double part(AccountState state, long nowNanos) {
        boolean waiting = expected.stream().anyMatch(host -> isSilentForLessThan(host, TAKEN_OVER_NANOS, nowNanos));
        if (!waiting || state.part < 0) {
            Set<HostId> participants = participants(nowNanos);
            double equalPart = 1.0 / participants.size();
            state.part = EQUAL_PART * equalPart
                    + (1 - EQUAL_PART)
                            * state.partOfDemand(self, participants, nowNanos).orElse(equalPart);
        }
        return state.part;
    }

    private boolean isSilentForLessThan(HostId host, long limitNanos, long nowNanos) {
        Long heard = heardNanos.get(host);
        return heard != null && !isFresh(host, nowNanos) && nowNanos - heard < limitNanos;
    }

    private boolean isSettled(long nowNanos) {
        return nowNanos - startNanos >= SETTLED_AFTER_NANOS;
    }

    private boolean isFresh(HostId host, long nowNanos) {
        Long heard = heardNanos.get(host);
        return heard != null && nowNanos - heard < STALE_NANOS;
    }

    /** Returns the hosts among which quotas are divided: those that were heard, and those that may just have started. */
    private Set<HostId> participants(long nowNanos) {
        Set<HostId> participants = new LinkedHashSet<>();
        expected.stream()
                .filter(host -> !heardNanos.containsKey(host) && nowNanos - startNanos < ISOLATED_NANOS)
                .forEach(participants::add);
        heardNanos.forEach((host, heard) -> {
            if (nowNanos - heard < TAKEN_OVER_NANOS) {
                participants.add(host);
            }
        });
        participants.add(self);
        return participants;
    }

    /** What one host knows of an account. */
    private static final class AccountState {
        private final Map<HostId, DecayingCount> demand = new HashMap<>();
        private final TokenBucket count;
        private final TokenBucket share;
        private boolean startsEmpty;
        private long exhaustedUntilNanos;
        private double part = -1;
        private int asked;
        private int admitted;
        private long lastRetryNanos;

        AccountState(boolean startsEmpty, double tokens, long nowNanos) {
            this.startsEmpty = startsEmpty;
            this.count = new TokenBucket(tokens, nowNanos);
            this.share = new TokenBucket(startsEmpty ? SHARE_MARGIN : tokens, nowNanos);
            this.exhaustedUntilNanos = nowNanos;
            this.lastRetryNanos = nowNanos;
        }

        void addDemand(HostId host, int requests, long nowNanos) {
            demand.computeIfAbsent(host, id -> new DecayingCount()).add(requests, nowNanos);
        }

        AccountActivity takeActivity(long nowNanos) {
            AccountActivity activity = new AccountActivity(asked, admitted, count.tokens(nowNanos));
            asked = 0;
            admitted = 0;
            return activity;
        }

        /** Returns the part of the demand that a host has; empty if there was none of late. */
        Optional<Double> partOfDemand(HostId host, Set<HostId> participants, long nowNanos) {
            double total = 0;
            double own = 0;
            for (HostId participant : participants) {
                DecayingCount counted = demand.get(participant);
                double requests = counted == null ? 0 : counted.at(nowNanos);
                total += requests;
                own += participant.equals(host) ? requests : 0;
            }
            return total > 0 ? Optional.of(own / total) : Optional.empty();
        }

        /** Gives each rejected caller a time of its own, so that they do not come back together for the next token. */
        long retryAfterMillis(long nowNanos) {
            long untilTokenNanos = Math.max(count.nanosUntilToken(nowNanos), share.nanosUntilToken(nowNanos));
            if (untilTokenNanos == Long.MAX_VALUE) {
                return MAX_RETRY_AFTER_MILLIS;
            }
            long retryNanos = Math.max(nowNanos + untilTokenNanos, lastRetryNanos + share.nanosPerToken());
            long millis = TimeUnit.NANOSECONDS.toMillis(retryNanos - nowNanos) + 1;
            if (millis > MAX_RETRY_AFTER_MILLIS) {
                return MAX_RETRY_AFTER_MILLIS;
            }
            lastRetryNanos = retryNanos;
            return millis;
        }
    }
}
