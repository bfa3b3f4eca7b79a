package org.gooseberryhill.entry;

import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import org.gooseberryhill.contract.Fingerprint;
import org.gooseberryhill.decision.batch.TailLatencyMonitor;
import org.gooseberryhill.decision.drain.LeavingEndpoints;
import org.gooseberryhill.decision.drain.LeavingSource;
import org.gooseberryhill.decision.online.OnlineCore;
import org.gooseberryhill.decision.ownership.Ownership;
import org.gooseberryhill.decision.quarantine.CrashSuspects;
import org.gooseberryhill.host.Host;
import org.gooseberryhill.host.Role;
import org.gooseberryhill.peer.PeerMessage;
import org.gooseberryhill.process.HostProcess;
import org.gooseberryhill.timeline.EventKind;

/**
 * Exchanges the state of online requests with other hosts: loads, crashes and leaving endpoints. Confined to the
 * control thread.
 *
 * <p>The start of a request is reported to the endpoint's steward at once, since batch items have to yield to it; its
 * end may wait for the next reporting round.
 */
final class OnlineTraffic {
    private static final long SUSPECT_RETENTION_MILLIS = TimeUnit.MINUTES.toMillis(10);
    private static final int MAX_SUSPECTS = 10_000;
    private static final long REPORT_PERIOD_MILLIS = 250;

    private final HostProcess process;
    private final OnlineCore core;
    private final TailLatencyMonitor tailLatency = new TailLatencyMonitor();
    private final LeavingEndpoints leaving = new LeavingEndpoints();
    private final LoadReporter loadReporter;
    private int requestsInProgress;

    OnlineTraffic(HostProcess process, EntrySettings settings) {
        this.process = process;
        this.core = new OnlineCore(
                process.settings().self().zone(),
                settings.policies(),
                new CrashSuspects(SUSPECT_RETENTION_MILLIS, MAX_SUSPECTS));
        this.loadReporter = new LoadReporter(process, this::onEndpointLoads);
        process.configuration().onChange(core::configure);
        process.onHostList(listing -> {
            leaving.replace(LeavingSource.HOST_LIST, listing.leavingEndpoints());
            core.endpoints().setLeaving(leaving.all());
        });
        process.loop().every(REPORT_PERIOD_MILLIS, this::reportLoads);
    }

    OnlineCore core() {
        return core;
    }

    TailLatencyMonitor tailLatency() {
        return tailLatency;
    }

    int requestsInProgress() {
        return requestsInProgress;
    }

    void requestStarted() {
        requestsInProgress++;
    }

    void requestEnded() {
        requestsInProgress--;
    }

    /** Reports the start of an attempt; the steward has to know of it before the endpoint slows down. */
    void attemptStarted(String endpoint) {
        core.endpoints()
                .find(endpoint)
                .ifPresent(state -> loadReporter.reportNow(state.settings(), state.ownInFlight()));
    }

    /** Handles a crash at an endpoint. All hosts have to know of it before the caller resends the request elsewhere. */
    void onEndpointCrashed(String endpoint, Fingerprint fingerprint) {
        core.suspects()
                .recordCrash(endpoint, List.of(fingerprint), process.loop().nowNanos());
        process.timeline()
                .event(EventKind.ENDPOINT_CRASHED)
                .endpoint(endpoint)
                .with("fingerprint", fingerprint.value())
                .write();
        PeerMessage notice = new PeerMessage.CrashNotice(endpoint, List.of(fingerprint.value()));
        process.presentHosts(Role.ENTRY).stream()
                .filter(host -> !process.isSelf(host))
                .forEach(host -> process.send(host, notice));
        process.presentHosts(Role.STEWARD).forEach(host -> process.send(host, notice));
    }

    /** Handles another host's notice of a crash. */
    void onCrashNotice(PeerMessage.CrashNotice notice) {
        List<Fingerprint> fingerprints =
                notice.fingerprints().stream().map(Fingerprint::new).toList();
        core.suspects()
                .recordCrash(notice.endpoint(), fingerprints, process.loop().nowNanos());
    }

    /** Handles a steward's notice that one of its endpoints is leaving, or no longer is. */
    void onLeavingNotice(PeerMessage.LeavingNotice notice) {
        leaving.update(LeavingSource.PEER, notice.endpoint(), notice.leaving());
        core.endpoints().setLeaving(leaving.all());
    }

    /**
     * Returns the steward that assigns endpoints to the suspects of a service: requests that were in flight when an
     * endpoint crashed.
     */
    Optional<Host> suspectArbiter(String service) {
        return Ownership.ownerOfSuspects(service, process.presentHosts(Role.STEWARD));
    }

    private void reportLoads() {
        loadReporter.reportChanges(core.endpoints().all(), tailLatency.takeSlowEndpoints());
    }

    private void onEndpointLoads(Set<String> reportedEndpoints, PeerMessage.EndpointLoads loads) {
        for (String endpoint : reportedEndpoints) {
            int online = loads.online().getOrDefault(endpoint, 0);
            int batch = loads.batch().getOrDefault(endpoint, 0);
            core.endpoints().recordReport(endpoint, online, batch);
            leaving.update(LeavingSource.PEER, endpoint, loads.leaving().contains(endpoint));
        }
        core.endpoints().setLeaving(leaving.all());
    }
}
