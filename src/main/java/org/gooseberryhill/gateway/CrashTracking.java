package org.gooseberryhill.gateway;

import java.util.List;
import org.gooseberryhill.contract.Fingerprint;
import org.gooseberryhill.decision.dispatch.AttemptEnd;
import org.gooseberryhill.decision.dispatch.RoutedIntake;
import org.gooseberryhill.decision.quarantine.CrashSuspects;
import org.gooseberryhill.decision.quarantine.CrashSuspects.Verdict;
import org.gooseberryhill.peer.PeerMessage;
import org.gooseberryhill.timeline.EventKind;

/**
 * Takes note of requests whose endpoints broke off, with what other gateways saw. For the control thread.
 *
 * <p>Failure: one request crashes each endpoint that runs it, and its caller sends it again through other hosts. Each host
 * tells the others of what was cut at it, so that the second crash is enough, whichever hosts saw the two.
 */
final class CrashTracking {
    private final GatewayContext context;
    private final PeerLinks links;
    private final CrashSuspects suspects;

    CrashTracking(GatewayContext context, PeerLinks links, CrashSuspects suspects) {
        this.context = context;
        this.links = links;
        this.suspects = suspects;
    }

    /** An attempt ended before any part of its answer had come; a silent endpoint may be a full one and has not crashed. */
    void ended(Fingerprint request, String endpoint, AttemptEnd end) {
        if (end != AttemptEnd.CUT) {
            return;
        }
        suspects.crashed(endpoint, List.of(request), context.nowNanos());
        context.timeline()
                .event(EventKind.ENDPOINT_CRASHED)
                .endpoint(endpoint)
                .with("fingerprint", request.value())
                .with("verdict", suspects.verdict(request, context.nowNanos()))
                .write();
        links.tellAll(new PeerMessage.CrashNotice(endpoint, List.of(request.value())));
    }

    /** A request got its whole answer: it crashes nothing, and the others may know. */
    void completed(RoutedIntake intake) {
        if (suspects.size() == 0) {
            return;
        }
        Fingerprint request = intake.fingerprint();
        if (suspects.verdict(request, context.nowNanos()) != Verdict.CLEAR) {
            suspects.completed(request);
            links.tellAll(new PeerMessage.SuspectRelease(intake.service(), request.value(), true));
        }
    }

    /** Another gateway saw requests cut. */
    void heard(PeerMessage.CrashNotice notice) {
        List<Fingerprint> requests =
                notice.fingerprints().stream().map(Fingerprint::new).toList();
        suspects.crashed(notice.endpoint(), requests, context.nowNanos());
    }

    /** Another gateway saw a request answered. */
    void heard(PeerMessage.SuspectRelease release) {
        if (release.completed()) {
            suspects.completed(new Fingerprint(release.fingerprint()));
        }
    }
}
