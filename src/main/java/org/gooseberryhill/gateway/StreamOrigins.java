package org.gooseberryhill.gateway;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.Iterator;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import org.gooseberryhill.decision.continuation.OriginInquiry;
import org.gooseberryhill.decision.continuation.OriginKeepers;
import org.gooseberryhill.decision.continuation.OriginReport;
import org.gooseberryhill.decision.continuation.RegisteredVersions;
import org.gooseberryhill.decision.continuation.StreamOrigin;
import org.gooseberryhill.decision.continuation.StreamOriginLog;
import org.gooseberryhill.decision.continuation.VersionHistory;
import org.gooseberryhill.directory.ServiceVersion;
import org.gooseberryhill.external.KeyChange;
import org.gooseberryhill.host.Host;
import org.gooseberryhill.peer.GatewayMessage;
import org.gooseberryhill.peer.PeerLane;
import org.gooseberryhill.route.RouteConfiguration;
import org.gooseberryhill.timeline.EventKind;

/**
 * Remembers at which versions streams began, tells some other hosts, and finds out for streams that callers take up again. Confined
 * to the control thread.
 *
 * <p>Invariant: other hosts are told of a stream while more than one version of its service is registered, or was so lately, and
 * while this host can't be sure that there is only one. Where there is only one, a stream of which no host knows can't have begun at
 * another.
 */
final class StreamOrigins {
    /** Several round trips between availability zones: after this time the answers of most hosts are enough. */
    private static final long MAJORITY_DELAY_MILLIS = 100;

    /** Hosts answer this late while they start, and without answers the caller loses what it has of the stream. */
    private static final long INQUIRY_TIMEOUT_MILLIS = 500;

    /** Hosts that are asked at the same time. */
    private static final int ASKED_AT_ONCE = 3;

    private static final long KEEPERS_PERIOD_NANOS = TimeUnit.MILLISECONDS.toNanos(50);

    private static final String NO_REQUEST = "";

    private final GatewayContext context;
    private final PeerLinks links;
    private final StreamOriginLog log = new StreamOriginLog();
    private final VersionHistory history = new VersionHistory();
    private final OriginKeepers keepers = new OriginKeepers();
    private final VersionRecordWriter recordWriter;
    private Optional<ViewUpdater> registrations = Optional.empty();
    private boolean toldOfAll;
    private long keepersUpdatedNanos;

    StreamOrigins(GatewayContext context, PeerLinks links) {
        this.context = context;
        this.links = links;
        this.recordWriter = new VersionRecordWriter(context, links, history);
        this.keepersUpdatedNanos = context.nowNanos() - KEEPERS_PERIOD_NANOS;
    }

    /** Applies the record of software versions as read from the key-value store. */
    void versionRecordRead(KeyChange entry) {
        recordWriter.recordRead(entry);
    }

    /** Reads the registrations through the given view from now on. */
    void followRegistrations(ViewUpdater view) {
        registrations = Optional.of(view);
        view.setOnChangesMissed(() -> history.changesMissed(context.nowNanos()));
    }

    /** Keeps the record of software versions up to date, and others informed of streams; called periodically. */
    void tick() {
        recordWriter.tick();
        boolean tellOfAll = !history.isComplete(registrationsAgeNanos(), context.nowNanos());
        if (tellOfAll && !toldOfAll) {
            tell(log.recent(history.maxStreamAgeNanos(), context.nowNanos()));
        }
        toldOfAll = tellOfAll;
    }

    /** Applies a new configuration. */
    void configure(RouteConfiguration configuration) {
        history.configure(configuration.routes());
    }

    /** Applies a new directory: streams that have begun are made known before their service has several versions for long. */
    void endpointsChanged(DirectoryUpdate update) {
        Set<String> mixed = history.update(update.entries(), update.passed(), context.nowNanos());
        mixed.forEach(service -> tell(log.recent(service, history.maxStreamAgeNanos(), context.nowNanos())));
    }

    /**
     * Records that a caller has received the first event of a stream, or that a stream goes on which it has taken up.
     *
     * @param ambiguousService whether requests of the route may go to other services as well
     */
    void streamBegan(StreamOrigin origin, boolean ambiguousService) {
        log.record(origin, context.nowNanos());
        if (toldOfAll || ambiguousService || history.isMixed(origin.beganAt().service(), context.nowNanos())) {
            tell(Set.of(origin));
        }
    }

    /**
     * Finds out which version began a stream; the receiver gets nothing if it is not certain.
     *
     * @param firstRequestId id of the client attempt that brought the first event, if the caller names it
     * @param service the service that the stream must have begun at; empty if there are several
     */
    void find(Optional<String> firstRequestId, Optional<String> service, Consumer<Optional<ServiceVersion>> receiver) {
        new Inquiry(firstRequestId, service, receiver).start();
    }

    /** Records what another host tells of streams. */
    void handle(GatewayMessage.StreamOriginNotice notice) {
        notice.origins().forEach(origin -> log.record(origin, context.nowNanos()));
    }

    /** Answers a host that asks for the version that began a stream. */
    GatewayMessage.StreamOriginReply answer(GatewayMessage.StreamOriginRequest request) {
        return new GatewayMessage.StreamOriginReply(report(request));
    }

    private OriginReport report(GatewayMessage.StreamOriginRequest request) {
        long nowNanos = context.nowNanos();
        return new OriginReport(
                request.firstRequestId().map(id -> log.find(id, nowNanos)).orElse(Set.of()),
                request.service()
                        .map(service -> history.registeredOf(service, registrationsAgeNanos(), nowNanos))
                        .orElse(RegisteredVersions.NONE));
    }

    private long registrationsAgeNanos() {
        return registrations
                .map(view -> TimeUnit.MILLISECONDS.toNanos(view.ageMillis()))
                .orElse(Long.MAX_VALUE);
    }

    /** The live hosts change rarely, and to list them takes time in a large fleet. */
    private OriginKeepers currentKeepers() {
        long nowNanos = context.nowNanos();
        if (nowNanos - keepersUpdatedNanos >= KEEPERS_PERIOD_NANOS) {
            keepersUpdatedNanos = nowNanos;
            keepers.updateHosts(links.gatewaysWithStreamOrigins());
        }
        return keepers;
    }

    private void tell(Collection<StreamOrigin> origins) {
        Map<Host, List<StreamOrigin>> byKeeper = new HashMap<>();
        OriginKeepers current = currentKeepers();
        origins.forEach(origin -> current.keepersOf(origin.firstRequestId())
                .forEach(keeper -> byKeeper.computeIfAbsent(keeper, host -> new ArrayList<>())
                        .add(origin)));
        byKeeper.forEach((keeper, kept) ->
                context.peers().post(keeper.address(), PeerLane.CONTROL, new GatewayMessage.StreamOriginNotice(kept)));
    }

    /** Asks the hosts that were told of a stream, until its version is certain or the time is over. */
    private final class Inquiry {
        private final GatewayMessage.StreamOriginRequest request;
        private final Consumer<Optional<ServiceVersion>> receiver;
        private final OriginInquiry inquiry;
        private final Iterator<Host> candidates;
        private boolean majorityIsEnough;
        private boolean readPending;
        private boolean timeIsOver;
        private boolean finished;

        Inquiry(
                Optional<String> firstRequestId,
                Optional<String> service,
                Consumer<Optional<ServiceVersion>> receiver) {
            this.request = new GatewayMessage.StreamOriginRequest(firstRequestId, service);
            this.receiver = receiver;
            this.inquiry = new OriginInquiry(service, report(request));
            this.candidates = currentKeepers()
                    .candidates(firstRequestId.orElse(NO_REQUEST))
                    .iterator();
        }

        void start() {
            if (inquiry.isDecidedAlone()) {
                finish();
                return;
            }
            for (int i = 0; i < ASKED_AT_ONCE; i++) {
                askNext();
            }
            finishIfDecided();
            if (!finished) {
                context.loop().after(MAJORITY_DELAY_MILLIS, this::acceptMajority);
                context.loop().after(INQUIRY_TIMEOUT_MILLIS, this::timeIsOver);
            }
        }

        private void askNext() {
            if (!candidates.hasNext()) {
                return;
            }
            Host host = candidates.next();
            inquiry.asked();
            context.onLoop(links.ask(host, request), (reply, failure) -> {
                if (finished) {
                    return;
                }
                if (reply instanceof GatewayMessage.StreamOriginReply answer) {
                    inquiry.answered(answer.report());
                } else {
                    inquiry.hostEnded();
                    askNext();
                }
                finishIfDecided();
            });
        }

        private void acceptMajority() {
            majorityIsEnough = true;
            finishIfDecided();
        }

        private void timeIsOver() {
            timeIsOver = true;
            finishIfDecided();
        }

        /** The registrations are read last, since each reading is a call of the store that a recorded origin makes needless. */
        private void finishIfDecided() {
            if (finished) {
                return;
            }
            boolean answersAreEnough = inquiry.haveAllAnswered() || majorityIsEnough || timeIsOver;
            if (answersAreEnough && inquiry.needsRegistrations() && !readPending && registrations.isPresent()) {
                readPending = true;
                registrations.get().readNow(this::registrationsRead);
            } else if (inquiry.isDecided()
                    || (majorityIsEnough && inquiry.beganAt().isPresent())
                    || (timeIsOver && !readPending)) {
                finish();
            }
        }

        private void registrationsRead(boolean succeeded) {
            readPending = false;
            if (succeeded) {
                inquiry.registrationsRead(report(request), history.joinsOtherReports(context.nowNanos()));
            } else {
                inquiry.registrationsNotRead();
            }
            finishIfDecided();
        }

        private void finish() {
            if (finished) {
                return;
            }
            finished = true;
            Optional<ServiceVersion> beganAt = inquiry.beganAt();
            if (beganAt.isEmpty()) {
                context.timeline()
                        .event(EventKind.STREAM_ORIGIN_UNKNOWN)
                        .with("firstRequest", request.firstRequestId().orElse(NO_REQUEST))
                        .with("service", request.service().orElse(""))
                        .with("findings", inquiry.toString())
                        .write();
            }
            receiver.accept(beganAt);
        }
    }
}
