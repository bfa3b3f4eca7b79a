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

/** The program {@code gooseberry-entry}. Thread-safe. */
public final class EntryProcess implements Closeable {
    private static final long STOP_CHECK_MILLIS = 200;

    private final HostProcess process;
    private final EntryContext context;
    private final EntrySettings settings;
    private Optional<HttpServer> server = Optional.empty();

    /** A process that is not started yet. */
    public EntryProcess(HostSettings hostSettings, EntrySettings settings, long seed) {
        this.settings = settings;
        this.process = new HostProcess(hostSettings, seed);
        OnlineTraffic traffic = new OnlineTraffic(process, settings);
        AccessControl access = new AccessControl();
        process.configuration().onChange(access::configure);
        EntryMetrics metrics = new EntryMetrics();
        AdminServer.registerMetrics(process, metrics.registry());
        this.context = new EntryContext(process, settings, traffic, access, metrics);
        process.roleHandler(this::handle);
    }

    /** Starts serving. */
    public void start() {
        process.start();
        CallRouter router = new CallRouter(context);
        server = Optional.of(
                HttpServer.start(process.group(), settings.httpAddress(), settings.httpLimits(), router::route));
        process.loop().every(STOP_CHECK_MILLIS, this::advanceStop);
    }

    /** The common part of the process. */
    public HostProcess process() {
        return process;
    }

    /** Whether this entry sends an endpoint nothing new; for the control thread. */
    public boolean knowsLeaving(String endpoint) {
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

    /** What comes in once the stop is under way is refused: it never runs, but its answer has to reach the caller. */
    private void advanceStop() {
        int unanswered = server.map(HttpServer::unanswered).orElse(0);
        process.advanceStop(Math.max(context.traffic().inProgress(), unanswered), false);
    }

    private CompletableFuture<PeerMessage> handle(HostId from, PeerMessage message) {
        if (message instanceof PeerMessage.CrashNotice notice) {
            context.traffic().heardCrash(notice);
        } else if (message instanceof PeerMessage.LeavingNotice notice) {
            context.traffic().heardLeaving(notice);
        } else if (message instanceof PeerMessage.SuspectRelease release && release.completed()) {
            context.traffic().core().suspects().completed(new Fingerprint(release.fingerprint()));
        }
        return MessageHandler.reply(new PeerMessage.Ack());
    }
}
