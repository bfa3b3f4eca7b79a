package org.gooseberryhill.entry;

import java.io.Closeable;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import org.gooseberryhill.contract.Fingerprint;
import org.gooseberryhill.decision.routing.EndpointState;
import org.gooseberryhill.host.HostId;
import org.gooseberryhill.http.HttpServer;
import org.gooseberryhill.peer.PeerMessage;
import org.gooseberryhill.process.AdminServer;
import org.gooseberryhill.process.HostProcess;
import org.gooseberryhill.process.HostSettings;
import org.gooseberryhill.process.MessageHandler;

/** The process of the program {@code gooseberry-entry}, which accepts callers' requests. Thread-safe. */
public final class EntryProcess implements Closeable {
    private static final long STOP_CHECK_PERIOD_MILLIS = 200;

    private final HostProcess process;
    private final EntryContext context;
    private final EntrySettings settings;
    private Optional<HttpServer> server = Optional.empty();

    /** Creates a process without starting it. */
    public EntryProcess(HostSettings hostSettings, EntrySettings settings, long seed) {
        this.settings = settings;
        this.process = new HostProcess(hostSettings, seed);
        OnlineTraffic traffic = new OnlineTraffic(process, settings);
        AccessControl access = new AccessControl();
        process.configuration().onChange(access::configure);
        EntryMetrics metrics = new EntryMetrics();
        AdminServer.registerMetrics(process, metrics.registry());
        this.context = new EntryContext(process, settings, traffic, access, metrics);
        process.setRoleHandler(this::handleMessage);
    }

    /** Starts the process and its HTTP server. */
    public void start() {
        process.start();
        CallRouter router = new CallRouter(context);
        server = Optional.of(HttpServer.start(
                process.eventLoopGroup(), settings.httpAddress(), settings.httpLimits(), router::route));
        process.loop().every(STOP_CHECK_PERIOD_MILLIS, this::advanceStop);
    }

    /** Returns the part of the process that all roles have in common. */
    public HostProcess process() {
        return process;
    }

    /**
     * Returns whether this entry sends no new requests to an endpoint because the endpoint is leaving. Must be called
     * on the control thread.
     */
    public boolean isEndpointLeaving(String endpoint) {
        return context.traffic()
                .core()
                .endpoints()
                .find(endpoint)
                .filter(EndpointState::isLeaving)
                .isPresent();
    }

    @Override
    public void close() {
        server.ifPresent(HttpServer::close);
        server = Optional.empty();
        process.close();
    }

    /** Advances the planned stop. A request refused during the stop never runs, but the stop waits for its response. */
    private void advanceStop() {
        int openResponses = server.map(HttpServer::requestsInProgress).orElse(0);
        process.advanceStop(Math.max(context.traffic().requestsInProgress(), openResponses), false);
    }

    private CompletableFuture<PeerMessage> handleMessage(HostId from, PeerMessage message) {
        if (message instanceof PeerMessage.CrashNotice notice) {
            context.traffic().onCrashNotice(notice);
        } else if (message instanceof PeerMessage.LeavingNotice notice) {
            context.traffic().onLeavingNotice(notice);
        } else if (message instanceof PeerMessage.SuspectRelease release && release.completed()) {
            context.traffic().core().suspects().clear(new Fingerprint(release.fingerprint()));
        }
        return MessageHandler.reply(new PeerMessage.Ack());
    }
}
