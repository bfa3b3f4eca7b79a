package org.gooseberryhill.decision.quota;

import java.util.HashMap;
import java.util.Map;
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
 *   <li>A request is admitted only if the count of all hosts and the share of this one both allow it. The shares bound what runs
 *       before the counts agree.
 *   <li>Shares are computed from what the hosts have told each other, not from what one of them knows better, so that they add
 *       up as intended, but for messages in transit.
 *   <li>While a host is silent, shares have no excess and add up to the quota on all sides of a cut ({@link QuotaParts}).
 *   <li>A host that begins to admit requests does not know what ran before: its count begins without a burst, unless a host
 *       that has admitted requests for longer tells it.
 * </ul>
 */
public final class CountedSharesQuota implements QuotaPolicy {
    /** Requests beyond the burst that the common count admits; a small quota alone would reject two requests at once. */
    private static final double COUNT_MARGIN = 8;

    /** Requests beyond its share of the burst that a host admits while the common count rejects none. */
    private static final double SHARE_MARGIN = 5;

    /** How much greater than its part of the quota a host's share is, since the demand at a host fluctuates. */
    private static final double SHARE_EXCESS = 2;

    /** Time for whose requests a share has room while the common count rejects requests. */
    private static final double EXHAUSTED_ROOM_SECONDS = 0.2;

    /** Time for which an account counts as exhausted after the common count has rejected one of its requests. */
    private static final long EXHAUSTED_NANOS = TimeUnit.MILLISECONDS.toNanos(2000);

    /** A host that was not told the participants for this time does not admit requests any more. */
    private static final long PARTICIPATION_NANOS = TimeUnit.MILLISECONDS.toNanos(1000);

    /** What ran before this time does not count any more in the windows of quotas. */
    private static final long SETTLED_AFTER_NANOS = TimeUnit.MILLISECONDS.toNanos(5000);

    private static final long MAX_RETRY_AFTER_MILLIS = 5000;

    private final HostId self;
    private final Participants participants;
    private final Map<String, AccountState> states = new HashMap<>();
    private Map<String, AccountQuota> quotas = Map.of();
    private long startNanos;
    private long updatedNanos;

    /** Creates the policy of a host that has just started. */
    public CountedSharesQuota(HostId self, long nowNanos) {
        this.self = self;
        this.participants = new Participants(self, nowNanos);
        this.startNanos = nowNanos;
        this.updatedNanos = nowNanos;
    }

    @Override
    public void configure(Map<String, AccountQuota> newQuotas, long nowNanos) {
        quotas = Map.copyOf(newQuotas);
        states.keySet().retainAll(quotas.keySet());
    }

    @Override
    public void updateFleet(FleetView view, long nowNanos) {
        startIfNew(nowNanos);
        participants.update(view, nowNanos);
    }

    @Override
    public void hostEnded(HostId host, long nowNanos) {
        participants.ended(host, nowNanos);
    }

    @Override
    public QuotaDecision admit(String account, long nowNanos) {
        AccountQuota quota = quotas.get(account);
        if (quota == null) {
            return new QuotaDecision.Admitted();
        }
        startIfNew(nowNanos);
        AccountState state = state(account, quota, nowNanos);
        state.asked++;
        double part = usablePart(state, nowNanos);
        if (part == 0) {
            return new QuotaDecision.Unknown();
        }
        resizeShare(state, part, quota, nowNanos);
        boolean counted = state.count.hasToken(nowNanos);
        if (!counted) {
            state.exhaustedUntilNanos = nowNanos + EXHAUSTED_NANOS;
        }
        if (!counted || !state.share.take(nowNanos)) {
            return new QuotaDecision.Rejected(state.retryAfterMillis(nowNanos));
        }
        state.count.remove(1, nowNanos);
        state.admitted++;
        return new QuotaDecision.Admitted();
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
    public QuotaReport takeReport(long nowNanos) {
        Map<String, AccountActivity> activities = new HashMap<>();
        boolean agreed = participants.agree(nowNanos);
        states.forEach((account, state) -> {
            // What this host was asked since its last report is not known to the others yet.
            if (agreed) {
                state.parts.agree(participants, nowNanos);
            }
            if (state.asked != 0 || state.admitted != 0) {
                activities.put(account, state.takeActivity(nowNanos));
                state.parts.addDemand(self, activities.get(account).asked(), nowNanos);
            }
        });
        return new QuotaReport(isSettled(nowNanos) && mayUseQuotas(nowNanos), activities);
    }

    @Override
    public void record(HostId from, QuotaReport report, long nowNanos) {
        participants.heard(from, report.settled(), nowNanos);
        report.activities().forEach((account, activity) -> {
            AccountQuota quota = quotas.get(account);
            if (quota != null) {
                AccountState state = state(account, quota, nowNanos);
                state.parts.addDemand(from, activity.asked(), nowNanos);
                if (state.startsEmpty && report.settled()) {
                    state.startsEmpty = false;
                    state.count.set(activity.tokens(), nowNanos);
                } else {
                    state.count.remove(activity.admitted(), nowNanos);
                }
            }
        });
    }

    /** Begins anew if this host has not admitted requests for a while: meanwhile others have, which it was not told. */
    private void startIfNew(long nowNanos) {
        if (nowNanos - updatedNanos >= PARTICIPATION_NANOS) {
            startNanos = nowNanos;
            states.clear();
            participants.restart(nowNanos);
        }
        updatedNanos = nowNanos;
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
        return new AccountState(self, !settled, tokens, nowNanos);
    }

    private void resizeShare(AccountState state, double part, AccountQuota quota, long nowNanos) {
        double rate = part * quota.ratePerSecond();
        boolean exhausted = nowNanos - state.exhaustedUntilNanos < 0;
        boolean othersStopped = participants.withholding(nowNanos).isEmpty();
        if (exhausted) {
            double room = Math.min(part * quota.burst(), rate * EXHAUSTED_ROOM_SECONDS);
            state.share.resize(rate, room + 1, nowNanos);
        } else if (othersStopped) {
            state.share.resize(SHARE_EXCESS * rate, SHARE_EXCESS * part * quota.burst() + SHARE_MARGIN, nowNanos);
        } else {
            state.share.resize(rate, part * quota.burst() + 1, nowNanos);
        }
    }

    /** Returns the part of the quota that this host may use now. */
    private double usablePart(AccountState state, long nowNanos) {
        if (participants.isReplaceable()) {
            return 0;
        }
        return participants.isAlone(nowNanos) ? 1 : state.parts.usablePart(participants, nowNanos);
    }

    private boolean mayUseQuotas(long nowNanos) {
        boolean allHeard = participants.silent(nowNanos).isEmpty();
        return !participants.isReplaceable() && (allHeard || !participants.mustStop(nowNanos));
    }

    private boolean isSettled(long nowNanos) {
        return nowNanos - startNanos >= SETTLED_AFTER_NANOS;
    }

    /** What one host knows of an account. */
    private static final class AccountState {
        private final QuotaParts parts;
        private final TokenBucket count;
        private final TokenBucket share;
        private boolean startsEmpty;
        private long exhaustedUntilNanos;
        private int asked;
        private int admitted;
        private long lastRetryNanos;

        AccountState(HostId self, boolean startsEmpty, double tokens, long nowNanos) {
            this.parts = new QuotaParts(self);
            this.startsEmpty = startsEmpty;
            this.count = new TokenBucket(tokens, nowNanos);
            this.share = new TokenBucket(startsEmpty ? SHARE_MARGIN : tokens, nowNanos);
            this.exhaustedUntilNanos = nowNanos;
            this.lastRetryNanos = nowNanos;
        }

        AccountActivity takeActivity(long nowNanos) {
            AccountActivity activity = new AccountActivity(asked, admitted, count.tokens(nowNanos));
            asked = 0;
            admitted = 0;
            return activity;
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
