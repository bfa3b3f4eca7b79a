package org.gooseberryhill.gateway;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.TimeUnit;
import java.util.stream.Collectors;
import org.gooseberryhill.contract.Prompt;
import org.gooseberryhill.decision.promptpart.BlockChange;
import org.gooseberryhill.decision.promptpart.CrashedRun;
import org.gooseberryhill.decision.promptpart.EndpointCrash;
import org.gooseberryhill.decision.promptpart.PartBlock;
import org.gooseberryhill.decision.promptpart.PromptPartKey;
import org.gooseberryhill.decision.promptpart.PromptPartQuarantine;
import org.gooseberryhill.decision.promptpart.ReplacedEndpoints;
import org.gooseberryhill.decision.promptpart.ServedPart;
import org.gooseberryhill.directory.EndpointEntry;
import org.gooseberryhill.directory.EndpointKey;
import org.gooseberryhill.external.KeyChange;
import org.gooseberryhill.host.Host;
import org.gooseberryhill.host.HostId;
import org.gooseberryhill.link.Address;
import org.gooseberryhill.peer.PeerLane;
import org.gooseberryhill.peer.QuarantineMessage;
import org.gooseberryhill.timeline.EventBuilder;
import org.gooseberryhill.timeline.EventKind;

/**
 * Observes which parts of prompts were in flight when endpoints crashed and which are served, and exchanges this with the other
 * gateways. Confined to the control thread.
 *
 * <p>Invariants: a connection that was lost counts as a crash only once the endpoint refuses another one or a successor has registered
 * at its address; nothing is sent while no endpoint crashes.
 */
final class PromptPartTracking {
    /** Longest time by which the check of an endpoint delays the decision on a request that was lost there. */
    private static final long MAX_DECISION_DELAY_MILLIS = 30;

    /** An answer whose end nothing marks is counted once its endpoint has not crashed for this time. */
    private static final long UNMARKED_END_DELAY_MILLIS = 500;

    /** Hosts that have served the same part tell so one after the other, so that most hear it before they tell it. */
    private static final long TELLING_DELAY_MILLIS_PER_HOST = 2;

    private static final long MAX_TELLING_DELAY_MILLIS = 200;
    private static final int MAX_CRASHED_ENDPOINTS = 256;

    private final GatewayContext context;
    private final PeerLinks links;
    private final PromptPartQuarantine quarantine;
    private final EndpointCrashCheck crashCheck;
    private final ReplacedEndpoints replacedEndpoints;
    private final QuarantineRecordWriter recordWriter;
    private final Map<EndpointKey, List<LostRun>> lostByEndpoint = new HashMap<>();
    private final Map<EndpointKey, Long> crashedAtNanos = new LinkedHashMap<>() {
        private static final long serialVersionUID = 1;

        @Override
        protected boolean removeEldestEntry(Map.Entry<EndpointKey, Long> eldest) {
            return size() > MAX_CRASHED_ENDPOINTS;
        }
    };
    private boolean tellingScheduled;

    PromptPartTracking(GatewayContext context, PeerLinks links, PromptPartQuarantine quarantine) {
        this.context = context;
        this.links = links;
        this.quarantine = quarantine;
        this.crashCheck = new EndpointCrashCheck(context);
        this.replacedEndpoints = new ReplacedEndpoints(context.settings().self().id());
        this.recordWriter = new QuarantineRecordWriter(context, links, quarantine, this::logChange);
    }

    /**
     * Records that the connection of a request was lost before its whole answer arrived.
     *
     * @param sentNanos when the request was sent, in nanoseconds
     * @param then runs once the cause is known, or after {@link #MAX_DECISION_DELAY_MILLIS}
     */
    void connectionLost(EndpointEntry endpoint, Optional<Prompt> prompt, long sentNanos, Runnable then) {
        Optional<CrashedRun> run = prompt.flatMap(given -> CrashedRun.of(given, endpoint.serviceVersion(), sentNanos));
        if (run.isEmpty()) {
            then.run();
            return;
        }
        LostRun lost = new LostRun(run.get(), then);
        if (crashedAtNanos.containsKey(endpoint.key())) {
            reportCrash(endpoint.key(), List.of(lost.run));
            lost.proceed();
            return;
        }
        context.loop().after(MAX_DECISION_DELAY_MILLIS, lost::proceed);
        List<LostRun> others = lostByEndpoint.get(endpoint.key());
        if (others != null) {
            others.add(lost);
            return;
        }
        lostByEndpoint.put(endpoint.key(), new ArrayList<>(List.of(lost)));
        long lostNanos = context.nowNanos();
        crashCheck.check(endpoint, crashed -> onChecked(endpoint, crashed, lostNanos));
    }

    /**
     * Records that the whole answer to a request was delivered.
     *
     * @param sentNanos when the request was sent, in nanoseconds
     * @param endIsMarked whether the answer itself tells that it is complete
     */
    void answered(Prompt prompt, EndpointEntry endpoint, long sentNanos, boolean endIsMarked) {
        long endedNanos = context.nowNanos();
        if (endIsMarked) {
            recordAnswer(prompt, endpoint, sentNanos, endedNanos);
            return;
        }
        context.loop().after(UNMARKED_END_DELAY_MILLIS, () -> {
            if (!crashedAtNanos.containsKey(endpoint.key())) {
                recordAnswer(prompt, endpoint, sentNanos, endedNanos);
            }
        });
    }

    /** Finds out which lost connections a change of the directory explains. */
    void endpointsChanged(Collection<EndpointEntry> entries) {
        for (EndpointCrash crash : replacedEndpoints.takeCrashes(entries, context.nowNanos())) {
            crashedAtNanos.put(crash.endpoint(), crash.atNanos());
            reportCrash(crash.endpoint(), crash.runs());
        }
    }

    /** Applies the record of blocked parts as read from the key-value store. */
    void quarantineRecordRead(KeyChange entry) {
        recordWriter.recordRead(entry);
    }

    /** Blocks parts that were not served for long enough, and keeps the record up to date; called periodically. */
    void tick() {
        quarantine.reassess(context.nowNanos()).forEach(this::logChange);
        recordWriter.tick();
    }

    /** Handles a message without a reply. */
    void handle(HostId from, QuarantineMessage message) {
        if (message instanceof QuarantineMessage.EndpointCrashNotice notice) {
            recordCrash(toCrash(from, notice));
        } else if (message instanceof QuarantineMessage.ServedPartsNotice notice) {
            long nowNanos = context.nowNanos();
            List<ServedPart> parts = notice.parts().stream()
                    .map(served -> new ServedPart(served.part(), before(nowNanos, served.sentAgeMillis())))
                    .toList();
            quarantine.servedElsewhere(parts).forEach(this::logChange);
        }
    }

    private void onChecked(EndpointEntry endpoint, boolean crashed, long lostNanos) {
        List<LostRun> lost = lostByEndpoint.remove(endpoint.key());
        List<CrashedRun> runs = lost.stream().map(run -> run.run).toList();
        if (crashed) {
            crashedAtNanos.put(endpoint.key(), lostNanos);
            reportCrash(endpoint.key(), runs);
        } else {
            replacedEndpoints.connectionsLost(endpoint, runs, lostNanos);
            endpointsChanged(context.fleet().entries());
        }
        lost.forEach(LostRun::proceed);
    }

    private void reportCrash(EndpointKey endpoint, List<CrashedRun> runs) {
        long atNanos = crashedAtNanos.get(endpoint);
        HostId self = context.settings().self().id();
        recordCrash(new EndpointCrash(endpoint, self, atNanos, runs));
        List<QuarantineMessage.Run> reported = runs.stream()
                .map(run -> new QuarantineMessage.Run(
                        run.parts(), TimeUnit.NANOSECONDS.toMillis(atNanos - run.sentNanos())))
                .toList();
        broadcast(new QuarantineMessage.EndpointCrashNotice(endpoint, ageMillis(atNanos), reported));
    }

    private EndpointCrash toCrash(HostId from, QuarantineMessage.EndpointCrashNotice notice) {
        long atNanos = before(context.nowNanos(), notice.ageMillis());
        List<CrashedRun> runs = notice.runs().stream()
                .map(run -> new CrashedRun(run.parts(), before(atNanos, run.ranMillis())))
                .toList();
        return new EndpointCrash(notice.endpoint(), from, atNanos, runs);
    }

    private void recordCrash(EndpointCrash crash) {
        quarantine.endpointCrashed(crash, context.nowNanos()).forEach(this::logChange);
        tellServedParts();
    }

    private void recordAnswer(Prompt prompt, EndpointEntry endpoint, long sentNanos, long endedNanos) {
        quarantine
                .answered(prompt, endpoint.serviceVersion(), sentNanos, endedNanos)
                .forEach(this::logChange);
        tellServedParts();
    }

    private void tellServedParts() {
        if (tellingScheduled || !quarantine.hasUntoldServedParts()) {
            return;
        }
        tellingScheduled = true;
        long longest = Math.min(
                MAX_TELLING_DELAY_MILLIS,
                TELLING_DELAY_MILLIS_PER_HOST * (1 + receivers().size()));
        context.loop().after(ThreadLocalRandom.current().nextLong(1 + longest), () -> {
            tellingScheduled = false;
            List<QuarantineMessage.Served> parts = quarantine.takeUntoldServedParts().stream()
                    .map(part -> new QuarantineMessage.Served(part.part(), ageMillis(part.sentNanos())))
                    .toList();
            if (!parts.isEmpty()) {
                broadcast(new QuarantineMessage.ServedPartsNotice(parts));
            }
        });
    }

    private void logChange(BlockChange change) {
        PartBlock block = change.block();
        EventBuilder event = context.timeline()
                .event(
                        change.kind() == BlockChange.Kind.LIFTED
                                ? EventKind.PROMPT_PART_SERVED
                                : EventKind.PROMPT_PART_BLOCKED)
                .with("change", change.kind())
                .with("promptParts", names(block))
                .with("crashes", crashes(block))
                .with("trials", block.trials());
        PromptPartKey first = block.parts().iterator().next();
        event.with("service", first.version().service())
                .with("softwareVersion", first.version().softwareVersion())
                .with("model", first.model())
                .with("ruledOut", quarantine.ruledOut(block))
                .write();
    }

    private static String names(PartBlock block) {
        return block.parts().stream().map(PromptPartKey::part).sorted().collect(Collectors.joining(","));
    }

    private String crashes(PartBlock block) {
        return block.crashes().stream()
                .map(crash -> crash.endpoint() + " seen by " + crash.reporter() + " " + ageMillis(crash.atNanos())
                        + " ms ago")
                .collect(Collectors.joining(", "));
    }

    private void broadcast(QuarantineMessage message) {
        context.peers().postAll(receivers(), PeerLane.CONTROL, message);
    }

    private List<Address> receivers() {
        return links.gatewaysWithPromptParts().stream().map(Host::address).toList();
    }

    private long ageMillis(long nanos) {
        return Math.max(0, TimeUnit.NANOSECONDS.toMillis(context.nowNanos() - nanos));
    }

    private static long before(long nanos, long millis) {
        return nanos - TimeUnit.MILLISECONDS.toNanos(millis);
    }

    /** A request whose connection was lost, and what is decided once the cause is known. */
    private static final class LostRun {
        private final CrashedRun run;
        private final Runnable then;
        private boolean decided;

        LostRun(CrashedRun run, Runnable then) {
            this.run = run;
            this.then = then;
        }

        void proceed() {
            if (!decided) {
                decided = true;
                then.run();
            }
        }
    }
}
