package org.gooseberryhill.decision.replay;

import io.vavr.Lazy;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Random;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import org.gooseberryhill.account.Caller;
import org.gooseberryhill.contract.ErrorCode;
import org.gooseberryhill.contract.Fingerprint;
import org.gooseberryhill.contract.Prompt;
import org.gooseberryhill.decision.dispatch.AttemptEnd;
import org.gooseberryhill.decision.dispatch.DispatchCore;
import org.gooseberryhill.decision.dispatch.DispatchDecision;
import org.gooseberryhill.decision.dispatch.DispatchPolicies;
import org.gooseberryhill.decision.dispatch.Fleet;
import org.gooseberryhill.decision.dispatch.GroupSelector;
import org.gooseberryhill.decision.dispatch.RoutedRequest;
import org.gooseberryhill.decision.dispatch.RoutedRequestInfo;
import org.gooseberryhill.decision.ownership.Ownership;
import org.gooseberryhill.decision.promptpart.CrashedRun;
import org.gooseberryhill.decision.promptpart.EndpointCrash;
import org.gooseberryhill.decision.promptpart.IsolationPermit;
import org.gooseberryhill.decision.promptpart.IsolationPermits;
import org.gooseberryhill.decision.promptpart.PermitAnswer;
import org.gooseberryhill.decision.promptpart.PromptPartQuarantine;
import org.gooseberryhill.decision.promptpart.QuarantineRecord;
import org.gooseberryhill.decision.promptpart.ServedPart;
import org.gooseberryhill.decision.quarantine.CrashSuspects;
import org.gooseberryhill.directory.EndpointEntry;
import org.gooseberryhill.host.Host;
import org.gooseberryhill.host.HostId;
import org.gooseberryhill.route.Route;

/** A simulated process of a gateway host that carries out the product's decisions on prompts that crash endpoints. */
final class PartReplayHost {
    private static final double ONE_WAY_MILLIS = 1;
    private static final double PERMIT_TIMEOUT_MILLIS = 50;
    private static final double TICK_MILLIS = 250;
    private static final double TELLING_MILLIS_PER_HOST = 2;
    private static final double MAX_TELLING_MILLIS = 200;
    private static final double OTHERS_WRITE_MILLIS = 1500;
    private static final long SUSPECT_MILLIS = 60_000;

    private final VirtualClock clock;
    private final PartReplay replay;
    private final Host self;
    private final Random random;
    private final Fleet fleet = new Fleet();
    private final CrashSuspects suspects = new CrashSuspects(SUSPECT_MILLIS, 1000);
    private final PromptPartQuarantine quarantine = new PromptPartQuarantine();
    private final IsolationPermits permits = new IsolationPermits();
    private final DispatchCore core;
    private final Map<String, List<Consumer<Boolean>>> checks = new HashMap<>();
    private QuarantineRecord record = QuarantineRecord.EMPTY;
    private long recordRevision;
    private double differsSinceMillis = -1;
    private boolean tellingScheduled;
    private boolean ended;

    PartReplayHost(VirtualClock clock, PartReplay replay, Host self, Random random) {
        this.clock = clock;
        this.replay = replay;
        this.self = self;
        this.random = random;
        this.core = new DispatchCore(
                self.zone(),
                DispatchPolicies.defaults(random),
                fleet,
                GroupSelector.NONE,
                endpoint -> false,
                suspects,
                quarantine);
        clock.schedule(random.nextDouble() * TICK_MILLIS, this::tick);
    }

    HostId id() {
        return self.id();
    }

    Host host() {
        return self;
    }

    PromptPartQuarantine quarantine() {
        return quarantine;
    }

    void end() {
        ended = true;
    }

    void updateDirectory(Collection<EndpointEntry> entries) {
        fleet.updateDirectory(entries);
    }

    /** Applies the record of blocked parts in the platform's store. */
    void recordRead(QuarantineRecord read, long revision) {
        if (!ended && revision > recordRevision) {
            recordRevision = revision;
            record = read;
            quarantine.restore(read, clock.nowMillis(), clock.nowNanos());
        }
    }

    /** Handles a request that arrives at this host. */
    void receive(PartReplayCall call, Route route) {
        if (ended) {
            return;
        }
        RoutedRequest request = core.newRequest(new RoutedRequestInfo(
                call.id(),
                route,
                PartScenario.SERVICE,
                Caller.UNATTRIBUTED,
                Optional.of(call.prompt()),
                Optional.empty(),
                Lazy.of(() -> Fingerprint.of("s", call.body().getBytes(StandardCharsets.UTF_8))),
                clock.nowNanos(),
                clock.nowNanos() + TimeUnit.MILLISECONDS.toNanos(route.timeoutMillis())));
        apply(call, request, core.dispatch(request, clock.nowNanos()));
    }

    private void tick() {
        if (ended) {
            return;
        }
        quarantine.reassess(clock.nowNanos()).forEach(replay.figures()::changed);
        writeRecord();
        clock.schedule(TICK_MILLIS, this::tick);
    }

    private void writeRecord() {
        if (!quarantine.differsFrom(record)) {
            differsSinceMillis = -1;
            return;
        }
        if (differsSinceMillis < 0) {
            differsSinceMillis = clock.nowMillis();
        }
        boolean responsible =
                Ownership.rank("quarantine", replay.knownHosts()).get(0).id().equals(id());
        if (responsible || clock.nowMillis() - differsSinceMillis >= OTHERS_WRITE_MILLIS) {
            replay.write(this, quarantine.toRecord(clock.nowMillis(), clock.nowNanos()), recordRevision);
        }
    }

    private void apply(PartReplayCall call, RoutedRequest request, DispatchDecision decision) {
        if (decision instanceof DispatchDecision.Send send) {
            send(call, request, send.endpoint());
        } else if (decision instanceof DispatchDecision.AskPermit ask) {
            askPermitAs(replay.policy(), ask, answer -> {
                if (!ended) {
                    apply(call, request, core.permitAnswered(request, answer, clock.nowNanos()));
                }
            });
        } else if (decision instanceof DispatchDecision.Wait wait) {
            clock.schedule(wait.millis(), () -> {
                if (!ended) {
                    apply(call, request, core.dispatchAfterWait(request, clock.nowNanos()));
                }
            });
        } else if (decision instanceof DispatchDecision.Refuse refuse) {
            request.takePermit().ifPresent(this::release);
            call.onRefused(refuse.refusal().code() == ErrorCode.QUARANTINED);
        }
    }

    private void send(PartReplayCall call, RoutedRequest request, EndpointEntry entry) {
        replay.sent(call, this, entry);
        PartReplayEndpoint.Run run = new PartReplayEndpoint.Run(this, call, new AttemptListener(call, request, entry));
        clock.schedule(ONE_WAY_MILLIS, () -> replay.deliver(entry, run));
    }

    private void failed(PartReplayCall call, RoutedRequest request, EndpointEntry entry, AttemptEnd end) {
        if (ended) {
            return;
        }
        long sentNanos = clock.nowNanos() - request.attemptNanos(clock.nowNanos());
        core.failureRecorded(request, end, clock.nowNanos());
        Runnable decide = () -> {
            request.takePermit().ifPresent(this::release);
            apply(call, request, core.decideAfterFailure(request, end, clock.nowNanos()));
        };
        Optional<CrashedRun> run = CrashedRun.of(call.prompt(), entry.serviceVersion(), sentNanos);
        if (end != AttemptEnd.CUT || run.isEmpty()) {
            decide.run();
            return;
        }
        suspects.recordCrash(entry.id(), List.of(request.info().fingerprint()), clock.nowNanos());
        replay.broadcast(
                this,
                host -> host.suspects.recordCrash(
                        entry.id(), List.of(request.info().fingerprint()), clock.nowNanos()));
        long lostNanos = clock.nowNanos();
        check(entry, crashed -> {
            if (crashed && replay.policy() != PartPolicy.REQUESTS_ONLY) {
                EndpointCrash crash = new EndpointCrash(entry.key(), id(), lostNanos, List.of(run.get()));
                recordCrash(crash);
                replay.broadcast(this, host -> host.recordCrash(crash));
            }
            decide.run();
        });
    }

    private void check(EndpointEntry entry, Consumer<Boolean> receiver) {
        List<Consumer<Boolean>> waiting = checks.computeIfAbsent(entry.id(), key -> new ArrayList<>());
        waiting.add(receiver);
        if (waiting.size() == 1) {
            clock.schedule(2 * ONE_WAY_MILLIS, () -> {
                List<Consumer<Boolean>> receivers = checks.remove(entry.id());
                if (!ended) {
                    boolean crashed = replay.refusesConnections(entry);
                    receivers.forEach(waitingReceiver -> waitingReceiver.accept(crashed));
                }
            });
        }
    }

    private void recordCrash(EndpointCrash crash) {
        if (!ended) {
            quarantine.endpointCrashed(crash, clock.nowNanos()).forEach(replay.figures()::changed);
            tellServedParts();
        }
    }

    private void tellServedParts() {
        if (tellingScheduled || !quarantine.hasUntoldServedParts()) {
            return;
        }
        tellingScheduled = true;
        double longest = Math.min(MAX_TELLING_MILLIS, TELLING_MILLIS_PER_HOST * replay.hostCount());
        clock.schedule(random.nextDouble() * longest, () -> {
            tellingScheduled = false;
            List<ServedPart> parts = quarantine.takeUntoldServedParts();
            if (!ended && !parts.isEmpty()) {
                replay.broadcast(this, host -> host.quarantine.servedElsewhere(parts));
            }
        });
    }

    private void askPermitAs(PartPolicy policy, DispatchDecision.AskPermit ask, Consumer<PermitAnswer> receiver) {
        if (policy == PartPolicy.ISOLATED) {
            askPermit(ask, receiver);
            return;
        }
        receiver.accept(PermitAnswer.granted(new IsolationPermit(ask.parts(), Optional.empty())));
    }

    private void askPermit(DispatchDecision.AskPermit ask, Consumer<PermitAnswer> receiver) {
        boolean[] answered = {false};
        Consumer<PermitAnswer> once = answer -> {
            if (answered[0]) {
                answer.permit().ifPresent(this::release);
                return;
            }
            answered[0] = true;
            receiver.accept(answer);
        };
        HostId granting = grantingHost();
        replay.send(this, granting, host -> {
            PermitAnswer answer = host.permits
                    .tryAcquire(ask.parts(), ask.confined(), ask.endpoints(), clock.nowNanos())
                    .map(PermitAnswer::granted)
                    .orElse(PermitAnswer.DENIED);
            replay.send(host, id(), asking -> once.accept(answer));
        });
        clock.schedule(PERMIT_TIMEOUT_MILLIS, () -> {
            if (!answered[0]) {
                once.accept(PermitAnswer.UNANSWERED);
            }
        });
    }

    private void release(IsolationPermit permit) {
        replay.send(this, grantingHost(), host -> host.permits.release(permit));
    }

    private HostId grantingHost() {
        return Ownership.ownerOfSuspects(PartScenario.SERVICE, replay.knownHosts())
                .orElseThrow()
                .id();
    }

    /** Receives the answer of one attempt. */
    private final class AttemptListener implements PartReplayEndpoint.Listener {
        private final PartReplayCall call;
        private final RoutedRequest request;
        private final EndpointEntry entry;

        AttemptListener(PartReplayCall call, RoutedRequest request, EndpointEntry entry) {
            this.call = call;
            this.request = request;
            this.entry = entry;
        }

        @Override
        public void onBegun() {
            if (request.sends() == 1) {
                call.onBegunAtFirstAttempt();
            }
        }

        @Override
        public void onEnd() {
            clock.schedule(ONE_WAY_MILLIS, () -> {
                if (ended) {
                    return;
                }
                long sentNanos = clock.nowNanos() - request.attemptNanos(clock.nowNanos());
                Prompt prompt = call.prompt();
                core.attemptSucceeded(request, clock.nowNanos());
                request.takePermit().ifPresent(PartReplayHost.this::release);
                quarantine.answered(prompt, entry.serviceVersion(), sentNanos, clock.nowNanos());
                tellServedParts();
                call.onAnswered();
            });
        }

        @Override
        public void onLost() {
            clock.schedule(ONE_WAY_MILLIS, () -> failed(call, request, entry, AttemptEnd.CUT));
        }

        @Override
        public void onRefused() {
            clock.schedule(ONE_WAY_MILLIS, () -> failed(call, request, entry, AttemptEnd.UNREACHABLE));
        }

        @Override
        public void onBusy() {
            clock.schedule(ONE_WAY_MILLIS, () -> failed(call, request, entry, AttemptEnd.BUSY));
        }
    }
}
