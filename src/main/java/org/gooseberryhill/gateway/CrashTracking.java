package org.gooseberryhill.gateway;

import java.util.List;
import org.gooseberryhill.contract.Fingerprint;
import org.gooseberryhill.decision.dispatch.AttemptEnd;
import org.gooseberryhill.decision.dispatch.RoutedRequestInfo;
import org.gooseberryhill.decision.quarantine.CrashSuspects;
import org.gooseberryhill.decision.quarantine.CrashSuspects.Verdict;
import org.gooseberryhill.peer.PeerMessage;
import org.gooseberryhill.timeline.EventKind;

/**
 * Tracks requests whose endpoints crashed, as observed by this and the other gateways. Confined to the control thread.
 *
 * <p>Guards against a request that crashes each endpoint that runs it and that its caller sends again through other
 * hosts. Each host notifies the others of requests whose connection to the endpoint was lost before any part of the
 * answer arrived, so that the second crash is enough to quarantine the request, whichever hosts observed the two.
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

    /**
     * Records an attempt that ended before any part of its answer arrived. A silent endpoint may merely have no free
     * slot, so it does not count as crashed.
     */
    void attemptEnded(Fingerprint request, String endpoint, AttemptEnd end) {
        if (end != AttemptEnd.CUT) {
            return;
        }
        suspects.recordCrash(endpoint, List.of(request), context.nowNanos());
        context.timeline()
                .event(EventKind.ENDPOINT_CRASHED)
                .endpoint(endpoint)
                .with("fingerprint", request.value())
                .with("verdict", suspects.verdict(request, context.nowNanos()))
                .write();
        links.broadcast(new PeerMessage.CrashNotice(endpoint, List.of(request.value())));
    }

    /** Clears a request that got its complete answer, since it crashes no endpoint, and notifies the other gateways. */
    void requestCompleted(RoutedRequestInfo requestInfo) {
        if (suspects.size() == 0) {
            return;
        }
        Fingerprint request = requestInfo.fingerprint();
        if (suspects.verdict(request, context.nowNanos()) != Verdict.CLEAR) {
            suspects.clear(request);
            links.broadcast(new PeerMessage.SuspectRelease(requestInfo.service(), request.value(), true));
        }
    }

    /** Records a crash of an endpoint that another gateway reports, with the requests that were in flight there. */
    void onCrashNotice(PeerMessage.CrashNotice notice) {
        List<Fingerprint> requests =
                notice.fingerprints().stream().map(Fingerprint::new).toList();
        suspects.recordCrash(notice.endpoint(), requests, context.nowNanos());
    }

    /** Clears a request that another gateway reports as answered. */
    void onSuspectRelease(PeerMessage.SuspectRelease release) {
        if (release.completed()) {
            suspects.clear(new Fingerprint(release.fingerprint()));
        }
    }
}
