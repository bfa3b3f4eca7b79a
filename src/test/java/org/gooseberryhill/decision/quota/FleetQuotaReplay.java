package org.gooseberryhill.decision.quota;

import java.util.ArrayList;
import java.util.Collections;
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
 * Replays in virtual time the requests of client accounts at a whole fleet: hosts ask coordinators, which count requests, and
 * decide themselves while none answers. Hosts are killed and cut off, and each sees the others as it hears them. Not
 * thread-safe.
 *
 * <p>Load pattern: accounts of very different sizes, whose clients each stay at one host, in waves between 0.38 and 1.84 of the
 * mean load; one account asks for many times its usual.
 */
final class FleetQuotaReplay {
    private static final long STEP_NANOS = TimeUnit.MILLISECONDS.toNanos(5);
    private static final double STEP_SECONDS = 0.005;
    private static final int STEPS_PER_EXCHANGE = 20;
    private static final double WAVE_SECONDS = 6.6;
    private static final double CALM_SECONDS = 3.8;
    private static final double REQUESTS_PER_HOST_AND_SECOND = 6.7;
    private static final double ACCOUNTS_PER_HOST = 1.2;
    private static final double CLIENTS_PER_HOST = 4.3;

    /** A host that is not heard is missing from the view of those that watch it after this time. */
    private static final double SILENCE_SECONDS = 4.2;

    private static final int WATCHERS_PER_HOST = 8;

    /** The least time for which a host is registered after it was lost. */
    private static final double LEASE_SECONDS = 5;

    /** Watchers that have to tell of a silent host before those believe it that do not watch it. */
    private static final int WATCHERS_BELIEVED = 2;

    private final Random random;
    private final List<FleetHost> hosts = new ArrayList<>();
    private final Set<HostId> allIds = new HashSet<>();
    private final List<List<FleetHost>> rankings = new ArrayList<>();
    private final List<FleetQuotaAccount> accounts = new ArrayList<>();
    private final Map<String, AccountQuota> quotas = new HashMap<>();
    private long nowNanos = TimeUnit.SECONDS.toNanos(1000);

    /** Creates a replay whose hosts have run for a while; each group of endpoints has one coordinator. */
    FleetQuotaReplay(int hostCount, int groups, long seed) {
        this.random = new Random(seed);
        createAccounts(hostCount);
        for (int number = 0; number < hostCount; number++) {
            FleetHost host = new FleetHost(number);
            hosts.add(host);
            allIds.add(host.id);
        }
        for (int group = 0; group < groups; group++) {
            List<FleetHost> ranking = new ArrayList<>(hosts);
            Collections.shuffle(ranking, random);
            rankings.add(ranking);
        }
        hosts.forEach(FleetHost::start);
    }

    /** Lets an account ask for many times its usual from now on. */
    void setDemand(int account, double timesUsual) {
        accounts.get(account).factor = timesUsual;
    }

    /**
     * Changes the quota of an account on all hosts that are not cut off, on the others when they are back. The bound stays as it
     * was until {@link #bindQuota}.
     */
    void setQuota(int account, double timesUsual) {
        FleetQuotaAccount changed = accounts.get(account);
        quotas.put(changed.name, FleetQuotaAccount.quota(changed.usual * timesUsual));
        hosts.stream().filter(host -> host.isUp() && !host.isCut()).forEach(FleetHost::configure);
    }

    /** Counts the requests of an account against its present quota from now on. */
    void bindQuota(int account) {
        FleetQuotaAccount changed = accounts.get(account);
        changed.bind(quotas.get(changed.name));
    }

    /**
     * Kills some hosts; they start again without what they knew.
     *
     * @param silently whether the others can't tell them from hosts that are cut off
     */
    void kill(double share, double forSeconds, boolean silently) {
        for (FleetHost host : draw(share)) {
            host.upAtNanos = nowNanos + seconds(forSeconds);
            host.lostSinceNanos = nowNanos;
            host.restarting = true;
            if (!silently) {
                hosts.stream().filter(FleetHost::isUp).forEach(other -> other.policy.hostEnded(host.id, nowNanos));
            }
        }
    }

    /**
     * Cuts some hosts off from all others for a time; callers still reach them.
     *
     * @param together whether they still reach each other
     * @param storeReached whether they still reach the key-value store
     */
    void cutOff(double share, double forSeconds, boolean together, boolean storeReached) {
        int side = 1;
        for (FleetHost host : draw(share)) {
            host.side = side;
            host.storeReached = storeReached;
            side += together ? 0 : 1;
            host.cutUntilNanos = nowNanos + seconds(forSeconds);
            host.lostSinceNanos = nowNanos;
        }
    }

    /** Plays a time and returns what came of its requests. */
    FleetQuotaResult play(double forSeconds) {
        FleetQuotaResult result = new FleetQuotaResult();
        long steps = Math.round(forSeconds / STEP_SECONDS);
        for (long step = 0; step < steps; step++) {
            nowNanos += STEP_NANOS;
            hosts.forEach(FleetHost::recoverIfDue);
            if (step % STEPS_PER_EXCHANGE == 0) {
                exchange();
            }
            accounts.forEach(account -> arrive(account, result));
        }
        return result;
    }

    private List<FleetHost> draw(double share) {
        List<FleetHost> drawn = new ArrayList<>(hosts);
        Collections.shuffle(drawn, random);
        return drawn.subList(0, (int) Math.ceil(share * hosts.size()));
    }

    private void createAccounts(int hostCount) {
        int count = (int) Math.round(ACCOUNTS_PER_HOST * hostCount);
        double weights = 0;
        for (int number = 1; number <= count; number++) {
            weights += 1.0 / number;
        }
        for (int number = 1; number <= count; number++) {
            double share = 1 / weights / number;
            double usual = REQUESTS_PER_HOST_AND_SECOND * hostCount * share;
            int clients = (int) Math.max(2, Math.round(CLIENTS_PER_HOST * hostCount * share));
            FleetQuotaAccount account =
                    new FleetQuotaAccount("account-" + number, usual, drawClients(clients, hostCount), nowNanos);
            accounts.add(account);
            quotas.put(account.name, account.bound());
        }
    }

    private List<Integer> drawClients(int count, int hostCount) {
        List<Integer> clients = new ArrayList<>();
        for (int client = 0; client < count; client++) {
            clients.add(random.nextInt(hostCount));
        }
        return clients;
    }

    private void arrive(FleetQuotaAccount account, FleetQuotaResult result) {
        double second = (double) nowNanos / TimeUnit.SECONDS.toNanos(1);
        double wave = second % WAVE_SECONDS < CALM_SECONDS ? 0.377 : 1.84;
        double expected = account.usual * account.factor * wave * STEP_SECONDS;
        int count = (int) expected + (random.nextDouble() < expected - (int) expected ? 1 : 0);
        for (int request = 0; request < count; request++) {
            boolean ideal = account.ideal.take(nowNanos);
            Admitted admitted = send(account);
            if (admitted == Admitted.YES) {
                account.recordAdmitted(nowNanos, result);
            }
            if (account.factor <= 1) {
                result.count(ideal, admitted);
            }
        }
    }

    /** Sends a request, and once more to another host if the first one can't tell. */
    private Admitted send(FleetQuotaAccount account) {
        FleetHost first = hostOf(account.clients.get(random.nextInt(account.clients.size())));
        Admitted admitted = first.handle(account.name);
        if (admitted != Admitted.UNKNOWN) {
            return admitted;
        }
        return hostOf(random.nextInt(hosts.size())).handle(account.name);
    }

    private FleetHost hostOf(int client) {
        for (int attempt = 0; attempt < hosts.size(); attempt++) {
            FleetHost candidate = hosts.get((client + attempt) % hosts.size());
            if (candidate.isUp()) {
                return candidate;
            }
        }
        throw new IllegalStateException("no host is up");
    }

    /** Coordinators tell each other what they were asked to admit. */
    private void exchange() {
        hosts.forEach(FleetHost::chooseCoordinators);
        for (FleetHost from : hosts) {
            if (!from.isUp()) {
                continue;
            }
            Set<FleetHost> coordinators = from.coordinators();
            if (!coordinators.contains(from)) {
                continue;
            }
            from.policy.updateFleet(from.view(coordinators), nowNanos);
            QuotaReport report = from.policy.takeReport(nowNanos);
            coordinators.stream()
                    .filter(other -> other != from && from.reaches(other))
                    .forEach(other -> other.policy.record(from.id, report, nowNanos));
        }
    }

    private static long seconds(double seconds) {
        return (long) (seconds * TimeUnit.SECONDS.toNanos(1));
    }

    /** What a host decided on a request. */
    enum Admitted {
        YES,
        NO,
        /** The host could not tell; the request may be sent to another host at once. */
        UNKNOWN
    }

    /** A host that serves callers, and coordinates the groups that it ranks first for among the hosts in its view. */
    private final class FleetHost {
        private final int number;
        private final HostId id;
        private final List<Integer> groupPreference = new ArrayList<>();
        private final List<FleetHost> coordinatorsByGroup = new ArrayList<>();
        private CountedSharesQuota policy;
        private LocalAllowance allowance;
        private long upAtNanos;
        private long cutUntilNanos;
        private long lostSinceNanos;
        private int side;
        private boolean restarting;
        private boolean storeReached = true;

        FleetHost(int number) {
            this.number = number;
            this.id = new HostId("host-" + number);
        }

        void start() {
            policy = new CountedSharesQuota(id, nowNanos);
            allowance = new LocalAllowance(nowNanos);
            if (groupPreference.isEmpty()) {
                for (int group = 0; group < rankings.size(); group++) {
                    groupPreference.add(group);
                }
                Collections.shuffle(groupPreference, random);
            }
            configure();
        }

        void configure() {
            policy.configure(quotas, nowNanos);
            allowance.configure(quotas);
        }

        void recoverIfDue() {
            if (restarting && nowNanos >= upAtNanos) {
                restarting = false;
                start();
            }
            if (side != 0 && nowNanos >= cutUntilNanos) {
                side = 0;
                storeReached = true;
                configure();
            }
        }

        boolean isUp() {
            return nowNanos >= upAtNanos;
        }

        boolean isCut() {
            return side != 0;
        }

        boolean reaches(FleetHost other) {
            return other == this || other.isUp() && side == other.side;
        }

        /** A host that can't be heard stays in the view for a while, or until enough of its watchers tell of it. */
        private boolean sees(FleetHost other) {
            long sinceNanos = Math.max(isCut() ? lostSinceNanos : 0, other.lostSinceNanos);
            if (reaches(other) || nowNanos - sinceNanos < seconds(SILENCE_SECONDS)) {
                return true;
            }
            int watchersReached = 0;
            for (int distance = 1; distance <= WATCHERS_PER_HOST; distance++) {
                FleetHost watcher = hosts.get((other.number + distance) % hosts.size());
                if (watcher == this) {
                    return false;
                }
                watchersReached += reaches(watcher) ? 1 : 0;
            }
            return watchersReached < WATCHERS_BELIEVED;
        }

        FleetView view(Set<FleetHost> coordinators) {
            Set<HostId> admitting = new HashSet<>();
            coordinators.stream().filter(other -> other != this).forEach(other -> admitting.add(other.id));
            Set<HostId> registered = new HashSet<>();
            hosts.stream().filter(this::lists).forEach(other -> registered.add(other.id));
            Set<HostId> active = new HashSet<>();
            hosts.stream().filter(this::sees).forEach(other -> active.add(other.id));
            Set<HostId> lost = new HashSet<>();
            rankings.forEach(ranking -> ranking.stream()
                    .filter(other -> other == this || lists(other))
                    .findFirst()
                    .filter(other -> !sees(other))
                    .ifPresent(other -> lost.add(other.id)));
            return new FleetView(admitting, lost, active, registered, isRegistered(), hearsMostWatched());
        }

        /** A host without contact to the store is registered until its lease ends. */
        private boolean isRegistered() {
            return storeReached || nowNanos - lostSinceNanos < seconds(LEASE_SECONDS);
        }

        /** The list of a host without contact to the store stays as it was. */
        private boolean lists(FleetHost other) {
            return !storeReached || other.isRegistered();
        }

        private boolean hearsMostWatched() {
            int heard = 1;
            for (int distance = 1; distance <= WATCHERS_PER_HOST; distance++) {
                FleetHost watched = hosts.get((number - distance + hosts.size()) % hosts.size());
                heard += sees(watched) ? 1 : 0;
            }
            return heard * 2 > WATCHERS_PER_HOST + 1;
        }

        private FleetHost coordinator(int group) {
            return coordinatorsByGroup.get(group);
        }

        /** Chooses the coordinators anew by the hosts in the view. */
        void chooseCoordinators() {
            coordinatorsByGroup.clear();
            for (List<FleetHost> ranking : rankings) {
                coordinatorsByGroup.add(
                        ranking.stream().filter(this::sees).findFirst().orElse(this));
            }
        }

        Set<FleetHost> coordinators() {
            return new HashSet<>(coordinatorsByGroup);
        }

        /** Asks the coordinators in the order of preference; decides itself if none answers. */
        Admitted handle(String account) {
            for (int group : groupPreference) {
                FleetHost coordinator = coordinator(group);
                Admitted answer = reaches(coordinator) ? ask(coordinator, account) : Admitted.UNKNOWN;
                if (answer != Admitted.UNKNOWN) {
                    return answer;
                }
            }
            if (allowance.admit(account, hosts.size(), nowNanos)) {
                return Admitted.YES;
            }
            return Admitted.UNKNOWN;
        }

        private Admitted ask(FleetHost coordinator, String account) {
            QuotaDecision decision = coordinator.policy.admit(account, nowNanos);
            if (decision instanceof QuotaDecision.Unknown) {
                return Admitted.UNKNOWN;
            }
            if (decision instanceof QuotaDecision.Rejected) {
                allowance.recordRejected(account, nowNanos);
                return Admitted.NO;
            }
            allowance.recordAdmitted(account, nowNanos);
            return Admitted.YES;
        }
    }
}
