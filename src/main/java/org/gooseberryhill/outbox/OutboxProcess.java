package org.gooseberryhill.outbox;

import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import java.io.Closeable;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicBoolean;
import org.gooseberryhill.control.ControlLoop;
import org.gooseberryhill.decision.membership.ListedHost;
import org.gooseberryhill.decision.requestbatch.OutboxTiming;
import org.gooseberryhill.dialect.BatchDialect;
import org.gooseberryhill.external.KeyValueStoreFactory;
import org.gooseberryhill.external.PollingKeyValueStore;
import org.gooseberryhill.http.HttpClient;
import org.gooseberryhill.link.HybridClock;
import org.gooseberryhill.logging.StandardOutputSink;
import org.gooseberryhill.peer.PeerServer;
import org.gooseberryhill.peer.PeerTraffic;
import org.gooseberryhill.registration.HostRegistration;
import org.gooseberryhill.registration.ProcessStartIds;
import org.gooseberryhill.stored.BatchStore;
import org.gooseberryhill.timeline.EventKind;
import org.gooseberryhill.timeline.Timeline;

/**
 * The process of a host with a disk. It stores batch submissions until the key-value store has recorded them.
 * Thread-safe.
 *
 * <p>Invariant: only the control thread accesses control state. Disk operations run on a thread of their own, since a
 * sync takes milliseconds.
 */
public final class OutboxProcess implements Closeable {
    private static final int TRAFFIC_THREADS = 1;
    private static final long TICK_PERIOD_MILLIS = 250;
    private static final long LOG_FLUSH_PERIOD_MILLIS = 250;
    private static final long GROUP_SHUTDOWN_TIMEOUT_MILLIS = 100;

    /** Maximum time that a planned stop waits for the removal of the host's registration. */
    private static final long REMOVAL_TIMEOUT_MILLIS = 1000;

    private final OutboxSettings settings;
    private final String processStart = ProcessStartIds.next();
    private final EventLoopGroup group = new MultiThreadIoEventLoopGroup(TRAFFIC_THREADS, NioIoHandler.newFactory());
    private final HybridClock clock = new HybridClock(System::currentTimeMillis);
    private final HttpClient http = new HttpClient(group);
    private final StandardOutputSink log = new StandardOutputSink();
    private final ControlLoop loop;
    private final Timeline timeline;
    private final HostRegistration registration;
    private final Outbox outbox;
    private final OutboxService service;
    private final CompletableFuture<Void> ended = new CompletableFuture<>();
    private final AtomicBoolean closed = new AtomicBoolean();
    private Optional<PeerServer> peerServer = Optional.empty();

    /** Creates a process; {@link #start} starts it. */
    public OutboxProcess(OutboxSettings settings, BatchDialect batches, KeyValueStoreFactory storeFactory) {
        this.settings = settings;
        String name = settings.self().id().value();
        PollingKeyValueStore store = storeFactory.create(http);
        this.loop = new ControlLoop(name);
        loop.failWith(ended);
        this.timeline = new Timeline(name, clock, log);
        this.registration =
                new HostRegistration(loop, store, timeline, () -> new ListedHost(settings.self(), processStart));
        this.outbox = new Outbox(settings.dataFolder());
        this.service = new OutboxService(
                loop,
                timeline,
                outbox,
                new BatchStore(store, batches, processStart, settings.storeValueBytes()),
                new OutboxTiming(settings.retentionMillis()));
    }

    /** Starts the peer server, loads the stored submissions and then registers the host. */
    public void start() {
        timeline.event(EventKind.PROCESS_STARTED)
                .with("role", "outbox")
                .with("zone", settings.self().zone().name())
                .with("start", processStart)
                .write();
        peerServer = Optional.of(new PeerServer(
                group,
                settings.self().id(),
                settings.self().address(),
                clock,
                new PeerTraffic(),
                (from, message) -> service.handle(message)));
        loop.execute(() -> {
            service.start(registration::start);
            loop.every(TICK_PERIOD_MILLIS, service::tick);
            loop.every(LOG_FLUSH_PERIOD_MILLIS, log::flush);
        });
    }

    /** Requests the planned stop; may be called repeatedly, from any thread. Stored submissions stay on the disk. */
    public void requestStop() {
        loop.execute(() -> {
            timeline.event(EventKind.PROCESS_STOPPING)
                    .with("submissions", service.submissionCount())
                    .write();
            registration.remove(this::completeStop);
            loop.after(REMOVAL_TIMEOUT_MILLIS, this::completeStop);
        });
    }

    /** Returns a future that completes at the end of the planned stop, exceptionally if the control thread has failed. */
    public CompletableFuture<Void> ended() {
        return ended;
    }

    /** Writes the buffered log lines, within a timeout in milliseconds. */
    public void flushLog(long timeoutMillis) {
        log.flushAndAwait(timeoutMillis);
    }

    @Override
    public void close() {
        if (!closed.compareAndSet(false, true)) {
            return;
        }
        loop.close();
        peerServer.ifPresent(PeerServer::close);
        outbox.close();
        http.close();
        group.shutdownGracefully(0, GROUP_SHUTDOWN_TIMEOUT_MILLIS, TimeUnit.MILLISECONDS)
                .awaitUninterruptibly(2 * GROUP_SHUTDOWN_TIMEOUT_MILLIS);
    }

    private void completeStop() {
        if (!ended.isDone()) {
            timeline.event(EventKind.PROCESS_ENDED)
                    .with("submissions", service.submissionCount())
                    .write();
            ended.complete(null);
        }
    }
}
