package org.gooseberryhill.gateway;

import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import java.io.Closeable;
import java.util.List;
import java.util.Optional;
import java.util.Random;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicBoolean;
import org.gooseberryhill.control.ControlLoop;
import org.gooseberryhill.decision.coordination.GroupRouting;
import org.gooseberryhill.decision.dispatch.DispatchCore;
import org.gooseberryhill.decision.dispatch.DispatchPolicies;
import org.gooseberryhill.decision.dispatch.Fleet;
import org.gooseberryhill.decision.drain.PlannedStop;
import org.gooseberryhill.decision.membership.ListedHost;
import org.gooseberryhill.decision.memory.HeldBytesPolicy;
import org.gooseberryhill.decision.promptpart.PromptPartQuarantine;
import org.gooseberryhill.decision.quarantine.CrashSuspects;
import org.gooseberryhill.decision.requestbatch.BatchRoutes;
import org.gooseberryhill.dialect.Dialects;
import org.gooseberryhill.external.KeyValueStoreFactory;
import org.gooseberryhill.http.HttpClient;
import org.gooseberryhill.http.HttpLimits;
import org.gooseberryhill.http.HttpServer;
import org.gooseberryhill.http.ListeningSocket;
import org.gooseberryhill.link.Address;
import org.gooseberryhill.link.HybridClock;
import org.gooseberryhill.logging.StandardOutputSink;
import org.gooseberryhill.peer.GatewayMessage;
import org.gooseberryhill.peer.PeerClient;
import org.gooseberryhill.peer.PeerMessage;
import org.gooseberryhill.peer.PeerServer;
import org.gooseberryhill.registration.HostRegistration;
import org.gooseberryhill.registration.ProcessStartIds;
import org.gooseberryhill.stored.BatchStore;
import org.gooseberryhill.timeline.EventKind;
import org.gooseberryhill.timeline.Timeline;

/**
 * Process of the program {@code gooseberry-gateway}: creates, starts and stops all parts of a gateway. Thread-safe.
 *
 * <p>Invariant: control state is confined to the control thread; one traffic thread serves all connections, since the
 * hosts have one core.
 */
public final class GatewayProcess implements Closeable {
    private static final int TRAFFIC_THREADS = 1;

    /** Period of work that no event triggers. Each run wakes a thread on a host that may use a part of one core. */
    private static final long TICK_PERIOD_MILLIS = 100;

    /** Period of work whose time limits are a second or longer, and whose cost grows with the numbers of hosts and endpoints. */
    private static final long SLOW_TICK_PERIOD_MILLIS = 250;

    /** Period of the search for owners of batches that are lost, which count as lost after more than a second. */
    private static final long TAKEOVER_PERIOD_MILLIS = 500;

    private static final long HEARTBEAT_PERIOD_MILLIS = 1000;

    /**
     * Time after a stop request during which all requests are accepted and idle connections are kept: the load balancer
     * checks readiness each second and removes a host after two negative answers. The time is half of the stop's time
     * limit if that is shorter.
     */
    private static final long STOP_GRACE_MILLIS = 2600;

    private static final long GROUP_SHUTDOWN_TIMEOUT_MILLIS = 100;

    /** Maximum time that a routine log line is buffered: a lost host loses the lines of this period at most. */
    private static final long LOG_FLUSH_PERIOD_MILLIS = 250;

    /** Time for which a request that crashed endpoints is remembered and isolated. */
    private static final long SUSPECT_RETENTION_MILLIS = 60_000;

    private static final int MAX_SUSPECTS = 10_000;

    private volatile GatewaySettings settings;
    private final EventLoopGroup group = new MultiThreadIoEventLoopGroup(TRAFFIC_THREADS, NioIoHandler.newFactory());
    private final HybridClock clock = new HybridClock(System::currentTimeMillis);
    private final GatewayMetrics metrics = new GatewayMetrics();
    private final Fleet fleet = new Fleet();
    private final StoreReachability storeReachability = new StoreReachability();
    private final RelayingKeyValueStore store;
    private final GatewayContext context;
    private final PeerLinks links;
    private final StoreRelayClient relayClient;
    private final GroupRouting routing;
    private final CrashSuspects suspects = new CrashSuspects(SUSPECT_RETENTION_MILLIS, MAX_SUSPECTS);
    private final PromptPartQuarantine promptParts = new PromptPartQuarantine();
    private final SlotAssignment assignment;
    private final HostHeartbeats heartbeats;
    private final CrashTracking crashTracking;
    private final GatewayTraffic traffic;
    private final RequestRouter requestRouter;
    private final HostRegistration registration;
    private final EndpointProbes probes;
    private final GatewayViews views;
    private final BatchRegistry registry = new BatchRegistry();
    private final BatchRoutes batchRoutes = new BatchRoutes();
    private final BatchRunner runner;
    private final BatchCommitter committer;
    private final BatchApiHandler batchApiHandler;
    private final BatchTakeover takeover;
    private final BatchHandOver handOver;
    private final GatewayMessageHandler messageHandler;
    private final StandardOutputSink log = new StandardOutputSink();
    private final TickTasks tickTasks;
    private final DelayLog delayLog;
    private final RejectedConnectionsLog rejectedConnectionsLog;
    private final Readiness readiness;
    private final StopSequence stop;
    private final AtomicBoolean closed = new AtomicBoolean();
    private volatile Optional<HttpServer> callersServer = Optional.empty();
    private Optional<HttpServer> readinessServer = Optional.empty();
    private Optional<PeerServer> peerServer = Optional.empty();
    private Optional<MetricsServer> metricsServer = Optional.empty();
    private final ConfigurationInForce configuration;

    /** Creates a process that is not started yet; the factory creates the store with the HTTP client of the process. */
    public GatewayProcess(GatewaySettings settings, Dialects dialects, KeyValueStoreFactory storeFactory, long seed) {
        this.settings = settings;
        Random random = new Random(seed);
        HttpClient http = new HttpClient(group, HeldBytesGuard.newCounts(settings));
        this.routing = new GroupRouting(settings.self(), settings.groupPartition());
        CountedKeyValueStore directStore = CountedKeyValueStore.create(storeFactory.create(http), dialects, metrics);
        this.store = new RelayingKeyValueStore(
                directStore, storeReachability, this::relayStoreCall, this::storeReachabilityChanged);
        DispatchPolicies policies = DispatchPolicies.defaults(random);
        this.context = new GatewayContext(
                () -> this.settings,
                ProcessStartIds.next(),
                new ControlLoop(settings.self().id().value()),
                http,
                new PeerClient(group, settings.self().id(), clock),
                this.store,
                dialects,
                fleet,
                createCore(http, policies),
                new PlannedStop(STOP_GRACE_MILLIS, settings.stopBoundMillis()),
                new Timeline(settings.self().id().value(), clock, log),
                metrics);
        this.tickTasks = new TickTasks(context.loop(), TICK_PERIOD_MILLIS);
        this.delayLog = new DelayLog(context, group, TICK_PERIOD_MILLIS);
        this.links = new PeerLinks(context);
        this.relayClient = new StoreRelayClient(context, links, random);
        this.assignment = new SlotAssignment(context, links, routing, policies);
        SlotExchange slots = assignment.exchange();
        this.heartbeats = new HostHeartbeats(context, links, storeReachability, slots);
        this.crashTracking = new CrashTracking(context, links, suspects);
        this.traffic = new GatewayTraffic(context, links, crashTracking, promptParts, slots, this::directoryAgeMillis);
        this.registration = new HostRegistration(context.loop(), context.store(), context.timeline(), this::listedSelf);
        this.probes = new EndpointProbes(context);
        BatchStore batchStore =
                new BatchStore(context.store(), dialects.batches(), context.processStart(), settings.storeValueBytes());
        this.runner = assignment.createRunner(registry, batchRoutes, promptParts, traffic);
        this.committer = new BatchCommitter(context, batchStore, registry, batchRoutes, runner::cancelRunsOfBatch);
        BatchRefusals refusals = new BatchRefusals(context, traffic);
        StoredBatchReader storedBatchReader = new StoredBatchReader(context, batchStore);
        BatchEnder ender =
                new BatchEnder(context, refusals, links, registry, batchStore, committer, runner, storedBatchReader);
        this.batchApiHandler = new BatchApiHandler(context, refusals, links, registry, storedBatchReader, ender);
        BatchCleanup cleanup = new BatchCleanup(context, links, registry, batchStore);
        this.takeover = new BatchTakeover(
                context, links, registry, batchStore, runner::schedule, committer::onRecordChanged, cleanup::onListed);
        BatchSubmissionHandler submissionHandler =
                new BatchSubmissionHandler(context, refusals, links, registry, batchStore, committer, runner, takeover);
        this.handOver = new BatchHandOver(context, links, registry, committer);
        this.configuration = createConfiguration();
        this.views = createViews();
        StartGate gate = new StartGate(context.nowNanos());
        this.readiness = new Readiness(context, gate);
        this.rejectedConnectionsLog = new RejectedConnectionsLog(context);
        this.stop = new StopSequence(
                context, traffic, runner, handOver, registration, this::callersServer, this::stopRequested);
        BatchMessageHandler batches = new BatchMessageHandler(registry, batchApiHandler, ender, takeover);
        this.messageHandler =
                new GatewayMessageHandler(context, heartbeats, slots, views, crashTracking, traffic, batches, store);
        this.requestRouter = new RequestRouter(context, traffic, submissionHandler, batchApiHandler, gate, random);
    }

    private DispatchCore createCore(HttpClient http, DispatchPolicies policies) {
        return new DispatchCore(
                settings.self().zone(),
                policies,
                fleet,
                routing,
                endpoint -> http.hasIdleConnection(endpoint.address()),
                suspects,
                promptParts);
    }

    private GatewayViews createViews() {
        return new GatewayViews(
                context,
                links,
                storeReachability::isReachable,
                configuration::configure,
                List.of(
                        update -> fleet.updateDirectory(update.entries()),
                        traffic.streamOrigins()::endpointsChanged,
                        update -> traffic.promptParts().endpointsChanged(update.entries()),
                        update -> assignment.endpointsChanged(update.entries()),
                        update -> updateReadiness(),
                        runner::endpointsChanged),
                traffic.streamOrigins()::followRegistrations,
                traffic.recordReceivers());
    }

    private ConfigurationInForce createConfiguration() {
        return new ConfigurationInForce(
                context,
                List.of(
                        table -> requestRouter.configure(table),
                        batchRoutes::configure,
                        table -> traffic.streamOrigins().configure(table.configuration()),
                        table -> assignment
                                .exchange()
                                .admissions()
                                .configure(table.configuration().accounts()),
                        table -> traffic.setConfigurationVersion(
                                table.configuration().version()),
                        table -> updateReadiness(),
                        table -> runner.schedule()));
    }

    private ListedHost listedSelf() {
        return new ListedHost(settings.self(), context.processStart());
    }

    /** Starts serving at the addresses in the settings. */
    public void start() {
        start(ListeningSocket.open(settings.callersAddress()));
    }

    /** Starts serving; callers are served at a socket that is already listening. */
    public void start(ListeningSocket callers) {
        // The store is queried first, so that its answers arrive during the rest of the start.
        context.loop().execute(this::startOnControlThread);
        peerServer = Optional.of(new PeerServer(
                group,
                settings.self().id(),
                settings.self().address(),
                clock,
                context.peers().traffic(),
                messageHandler::handle));
        callersServer = Optional.of(
                HttpServer.start(group, callers, this::limits, context.http().heldBytes(), requestRouter::route));
        readinessServer = Optional.of(
                HttpServer.start(group, settings.readinessAddress(), HttpLimits.DEFAULT, readiness::answer));
        settings.metricsAddress().ifPresent(this::startMetrics);
        context.timeline()
                .event(EventKind.PROCESS_STARTED)
                .with("role", "gateway")
                .with("zone", settings.self().zone().name())
                .with("start", context.processStart())
                .write();
    }

    /**
     * Applies reloaded settings; may be called from any thread. Identity and addresses stay as they were at the start, since
     * peers and callers know them: a change of these is logged and takes effect at the next start.
     */
    public void reload(GatewaySettings newSettings) {
        context.loop().execute(() -> {
            GatewaySettings before = settings;
            settings = before.reloaded(newSettings);
            context.stop().updateTimeLimitMillis(settings.stopBoundMillis());
            context.timeline()
                    .event(EventKind.SETTINGS_RELOADED)
                    .with("changed", !settings.equals(before))
                    .with("waitsForStart", !settings.equals(newSettings))
                    .write();
        });
    }

    /** Logs that reloaded settings are invalid; the settings in force stay. May be called from any thread. */
    public void rejectSettings(String finding) {
        context.timeline()
                .event(EventKind.SETTINGS_REJECTED)
                .with("finding", finding)
                .write();
    }

    /** Requests the planned stop, whose time limit starts now; may be called from any thread and repeatedly. */
    public void requestStop() {
        long requestedNanos = context.nowNanos();
        context.loop().execute(() -> stop.requestStop(requestedNanos));
    }

    /** Returns a future that completes when the planned stop is over, exceptionally if the control thread has failed. */
    public CompletableFuture<Void> ended() {
        return stop.ended();
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
        context.loop().close();
        callersServer.ifPresent(HttpServer::close);
        readinessServer.ifPresent(HttpServer::close);
        peerServer.ifPresent(PeerServer::close);
        metricsServer.ifPresent(MetricsServer::close);
        context.peers().close();
        context.http().close();
        group.shutdownGracefully(0, GROUP_SHUTDOWN_TIMEOUT_MILLIS, TimeUnit.MILLISECONDS)
                .awaitUninterruptibly(2 * GROUP_SHUTDOWN_TIMEOUT_MILLIS);
    }

    private void startMetrics(Address address) {
        traffic.addGauges();
        views.addGauges();
        rejectedConnectionsLog.addGauges(this::callersServer);
        new ProcessGauges(context, log).add(runner, handOver);
        metricsServer = Optional.of(new MetricsServer(group, context.loop(), metrics.all(), address));
    }

    private void startOnControlThread() {
        registration.start();
        views.start();
        context.loop().every(TICK_PERIOD_MILLIS, this::tick);
        tickTasks.add(SLOW_TICK_PERIOD_MILLIS, probes::tick);
        tickTasks.add(SLOW_TICK_PERIOD_MILLIS, assignment::slowTick);
        tickTasks.add(SLOW_TICK_PERIOD_MILLIS, traffic.streamOrigins()::tick);
        tickTasks.add(SLOW_TICK_PERIOD_MILLIS, traffic.promptParts()::tick);
        tickTasks.add(TAKEOVER_PERIOD_MILLIS, takeover::tick);
        tickTasks.add(HEARTBEAT_PERIOD_MILLIS, heartbeats::send);
        tickTasks.add(HEARTBEAT_PERIOD_MILLIS, assignment::reportAll);
        tickTasks.add(HEARTBEAT_PERIOD_MILLIS, delayLog::measureTraffic);
        tickTasks.add(HEARTBEAT_PERIOD_MILLIS, () -> callersServer.ifPresent(rejectedConnectionsLog::write));
        tickTasks.add(LOG_FLUSH_PERIOD_MILLIS, log::flush);
        takeover.start();
    }

    private void tick() {
        delayLog.tick();
        heartbeats.processReceived();
        views.tick();
        runner.processQueuedEvents();
        runner.tick();
        committer.tick(!context.stop().acceptsAllRequests());
        assignment.tick();
        updateReadiness();
        tickTasks.runDue();
    }

    private void updateReadiness() {
        boolean canRoute =
                views.areLoaded() && !configuration.table().configuration().isEmpty();
        readiness.update(canRoute, context.stop().phase() != PlannedStop.Phase.SERVING);
    }

    /** Logs that the store was lost or regained; may be called from any thread. */
    private void storeReachabilityChanged(boolean reachable, String reason) {
        context.timeline()
                .event(reachable ? EventKind.STORE_REGAINED : EventKind.STORE_LOST)
                .with("reason", reason)
                .write();
    }

    /** Asks another host to call the store; may be called from any thread. */
    private CompletableFuture<PeerMessage> relayStoreCall(GatewayMessage.StoreCall call, long timeoutMillis) {
        return relayClient.relay(call, timeoutMillis);
    }

    private long directoryAgeMillis() {
        return views.directoryAgeMillis();
    }

    private HttpServer callersServer() {
        return callersServer.orElseThrow();
    }

    private void stopRequested() {
        updateReadiness();
        heartbeats.announceLeaving();
    }

    private HttpLimits limits() {
        HeldBytesPolicy heldBytes = context.http().heldBytes().policy();
        return CallerLimits.of(configuration.table().configuration().limits(), settings.connectionLimits(), heldBytes);
    }
}
