package org.gooseberryhill.decision.quota;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import org.gooseberryhill.account.AccountQuota;
import org.gooseberryhill.host.HostId;

/**
 * Replays in virtual time the requests of client accounts that several hosts admit: accounts of very different sizes, whose few
 * clients each stay at one host, in waves between 0.38 and 1.84 of the mean load. Not thread-safe.
 *
 * <p>Each request is compared with one ideal token bucket an account, which sees all requests at once.
 */
final class QuotaReplay {
    static final double QUOTA_OF_USUAL = 1.6;

    private static final long STEP_NANOS = TimeUnit.MILLISECONDS.toNanos(5);
    private static final int STEPS_PER_EXCHANGE = 20;
    private static final double STEP_SECONDS = 0.005;
    private static final double WINDOW_SECONDS = 5;
    private static final double WAVE_SECONDS = 6.6;
    private static final double CALM_SECONDS = 3.8;
    private static final int CLIENTS_PER_ACCOUNT = 4;

    /** A host that is down is back after this time. */
    private static final double RESTART_SECONDS = 1.5;

    /** A host that is not heard is replaced after this time. */
    private static final double REPLACED_SECONDS = 4.2;

    private final Random random;
    private final Policies policies;
    private final int participants;
    private final List<Account> accounts = new ArrayList<>();
    private final Map<HostId, Participant> byId = new HashMap<>();
    private final List<Participant> all = new ArrayList<>();
    private final Map<String, AccountQuota> quotas = new HashMap<>();
    private double messageLoss;
    private long nowNanos = TimeUnit.SECONDS.toNanos(1000);

    /** Creates a replay whose hosts have run for a while. */
    QuotaReplay(Policies policies, int participants, int accountCount, double requestsPerSecond, long seed) {
        this.policies = policies;
        this.participants = participants;
        this.random = new Random(seed);
        double weights = 0;
        for (int number = 1; number <= accountCount; number++) {
            weights += 1.0 / number;
        }
        for (int number = 1; number <= accountCount; number++) {
            double usual = requestsPerSecond / weights / number;
            Account account = new Account("account-" + number, usual);
            accounts.add(account);
            quotas.put(account.name, quota(usual));
        }
        for (int number = 0; number < participants; number++) {
            Participant participant = new Participant(new HostId("host-" + number));
            all.add(participant);
            byId.put(participant.id, participant);
        }
        all.forEach(Participant::start);
    }

    private static AccountQuota quota(double usual) {
        return new AccountQuota(usual * QUOTA_OF_USUAL, usual * QUOTA_OF_USUAL);
    }

    /** Lets an account ask for many times its usual from now on. */
    void setDemand(int account, double timesUsual) {
        accounts.get(account).factor = timesUsual;
    }

    /** Changes the quota of an account on all hosts. */
    void setQuota(int account, double timesUsual) {
        Account changed = accounts.get(account);
        quotas.put(changed.name, quota(changed.usual * timesUsual));
        changed.limit(quotas.get(changed.name), nowNanos);
        all.forEach(participant -> participant.policy.configure(quotas, nowNanos));
    }

    void setMessageLoss(double share) {
        messageLoss = share;
    }

    /** Kills a host; it starts again without what it knew. */
    void kill(int participant) {
        Participant killed = all.get(participant);
        killed.upAtNanos = nowNanos + seconds(RESTART_SECONDS);
        killed.restarting = true;
    }

    /** Cuts a host off from all others for a time; the callers of its own host still reach it. */
    void cutOff(int participant, double forSeconds) {
        all.get(participant).cutUntilNanos = nowNanos + seconds(forSeconds);
        all.get(participant).cutSinceNanos = nowNanos;
    }

    /** Lets a host take itself for one that admits requests, which the others do not expect. */
    void addUnexpected() {
        Participant extra = new Participant(new HostId("extra"));
        extra.unexpected = true;
        all.add(extra);
        byId.put(extra.id, extra);
        extra.start();
    }

    /** Plays a time and returns what came of its requests. */
    Result play(double forSeconds) {
        Result result = new Result();
        long steps = Math.round(forSeconds / STEP_SECONDS);
        for (long step = 0; step < steps; step++) {
            nowNanos += STEP_NANOS;
            all.forEach(Participant::restartIfDue);
            if (step % STEPS_PER_EXCHANGE == 0) {
                exchange();
            }
            accounts.forEach(account -> arrive(account, result));
        }
        return result;
    }

    private void arrive(Account account, Result result) {
        double second = (double) nowNanos / TimeUnit.SECONDS.toNanos(1);
        double wave = second % WAVE_SECONDS < CALM_SECONDS ? 0.377 : 1.84;
        double expected = account.usual * account.factor * wave * STEP_SECONDS;
        int count = (int) expected + (random.nextDouble() < expected - (int) expected ? 1 : 0);
        for (int request = 0; request < count; request++) {
            Participant participant = account.nextParticipant();
            if (!participant.isCut()) {
                participant.policy.contacted(nowNanos);
            }
            boolean ideal = account.ideal.take(nowNanos);
            boolean admitted = participant.policy.admit(account.name, nowNanos).isEmpty();
            if (admitted) {
                account.recordAdmitted(nowNanos, result);
            }
            result.ideal += ideal ? 1 : 0;
            result.refusedBelow += ideal && !admitted ? 1 : 0;
        }
    }

    /** The hosts tell each other of their demand, and learn who else there is. */
    private void exchange() {
        for (Participant from : all) {
            if (!from.isUp()) {
                continue;
            }
            QuotaReport report = from.policy.takeReport(nowNanos);
            for (Participant to : all) {
                boolean delivered = to != from && to.isUp() && !from.isCut() && !to.isCut();
                if (delivered && random.nextDouble() >= messageLoss) {
                    to.policy.record(from.id, report, nowNanos);
                }
            }
        }
        for (Participant participant : all) {
            if (participant.isUp()) {
                participant.learnOthers();
            }
        }
    }

    private static long seconds(double seconds) {
        return (long) (seconds * TimeUnit.SECONDS.toNanos(1));
    }

    /** Creates the policy of a host that starts. */
    interface Policies {
        QuotaPolicy create(HostId self, long nowNanos);
    }

    /** What came of the requests of a time. */
    static final class Result {
        private long ideal;
        private long refusedBelow;
        private double worstExcess = Double.NEGATIVE_INFINITY;

        /** Returns the share of the requests within their quota that were rejected. */
        double refusedShare() {
            return (double) refusedBelow / ideal;
        }

        /** Returns by how many requests the bound was exceeded at worst; negative if it held. */
        double worstExcess() {
            return worstExcess;
        }
    }

    /** A client account with its clients. */
    private final class Account {
        private final String name;
        private final double usual;
        private final List<Integer> clients = new ArrayList<>();
        private final Deque<Long> admittedNanos = new ArrayDeque<>();
        private final TokenBucket ideal;
        private AccountQuota bound;
        private double factor = 1;

        Account(String name, double usual) {
            this.name = name;
            this.usual = usual;
            this.bound = quota(usual);
            this.ideal = new TokenBucket(bound.burst(), nowNanos);
            ideal.resize(bound.ratePerSecond(), bound.burst(), nowNanos);
            for (int client = 0; client < CLIENTS_PER_ACCOUNT; client++) {
                clients.add(random.nextInt(1 << 20));
            }
        }

        void limit(AccountQuota quota, long changedNanos) {
            bound = quota;
            admittedNanos.clear();
            ideal.resize(quota.ratePerSecond(), quota.burst(), changedNanos);
        }

        Participant nextParticipant() {
            int client = clients.get(random.nextInt(clients.size()));
            for (int attempt = 0; attempt < all.size(); attempt++) {
                Participant candidate = all.get((client + attempt) % all.size());
                if (candidate.isUp()) {
                    return candidate;
                }
            }
            return all.get(0);
        }

        void recordAdmitted(long atNanos, Result result) {
            admittedNanos.addLast(atNanos);
            while (atNanos - admittedNanos.peekFirst() > seconds(WINDOW_SECONDS)) {
                admittedNanos.removeFirst();
            }
            double allowed = (bound.ratePerSecond() * WINDOW_SECONDS + bound.burst()) * 1.1 + 20;
            result.worstExcess = Math.max(result.worstExcess, admittedNanos.size() - allowed);
        }
    }

    /** A host that admits requests. */
    private final class Participant {
        private final HostId id;
        private QuotaPolicy policy;
        private long upAtNanos;
        private long cutSinceNanos;
        private long cutUntilNanos;
        private boolean restarting;
        private boolean unexpected;

        Participant(HostId id) {
            this.id = id;
        }

        void start() {
            policy = policies.create(id, nowNanos);
            policy.configure(quotas, nowNanos);
            learnOthers();
        }

        void restartIfDue() {
            if (restarting && nowNanos >= upAtNanos) {
                restarting = false;
                start();
            }
        }

        boolean isUp() {
            return nowNanos >= upAtNanos;
        }

        boolean isCut() {
            return nowNanos < cutUntilNanos;
        }

        /** Hosts that were cut off for long are not expected any more by the others, nor do they expect these. */
        void learnOthers() {
            Set<HostId> others = new HashSet<>();
            for (Participant other : all) {
                boolean lostToEachOther = isLostToOthers() || other.isLostToOthers();
                if (other != this && !other.unexpected && !lostToEachOther) {
                    others.add(other.id);
                }
            }
            policy.updateParticipants(others, !isLostToOthers() || participants == 1, nowNanos);
        }

        private boolean isLostToOthers() {
            return isCut() && nowNanos - cutSinceNanos > seconds(REPLACED_SECONDS);
        }
    }
}
