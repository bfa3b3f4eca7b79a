package org.gooseberryhill.process;

import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import io.vavr.control.Try;
import java.io.Closeable;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Random;
import java.util.UUID;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.function.BiConsumer;
import java.util.function.Supplier;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;
import org.gooseberryhill.control.ControlLoop;
import org.gooseberryhill.decision.drain.PlannedStop;
import org.gooseberryhill.decision.membership.Membership;
import org.gooseberryhill.decision.membership.MembershipSettings;
import org.gooseberryhill.external.EtcdKeyValueStore;
import org.gooseberryhill.external.HostList;
import org.gooseberryhill.external.HttpHostList;
import org.gooseberryhill.host.Host;
import org.gooseberryhill.host.HostId;
import org.gooseberryhill.host.Role;
import org.gooseberryhill.http.HttpClient;
import org.gooseberryhill.link.HybridClock;
import org.gooseberryhill.logging.StandardOutputSink;
import org.gooseberryhill.peer.PeerClient;
import org.gooseberryhill.peer.PeerLane;
import org.gooseberryhill.peer.PeerMessage;
import org.gooseberryhill.peer.PeerServer;
import org.gooseberryhill.store.SegmentClient;
import org.gooseberryhill.timeline.EventKind;
import org.gooseberryhill.timeline.EventSink;
import org.gooseberryhill.timeline.FileSink;
import org.gooseberryhill.timeline.Timeline;

/**
 * The services that all processes of the system have in common, such as the control loop, peer messages, membership and
 * configuration. Methods are called on the control thread unless stated otherwise.
 *
 * <p>Invariant: only the control thread accesses control state; traffic threads, which run the event loops for network
 * I/O, submit tasks to {@link #loop()}.
 */
public final class HostProcess implements Closeable {
    /** Timeout of replies on the control lane. */
    public static final long ASK_TIMEOUT_MILLIS = 1000;

    private static final Logger LOG = LogManager.getLogger(HostProcess.class);
    private static final long TICK_PERIOD_MILLIS = 50;

    /** Maximum time that a routine timeline event is buffered before it is written. */
    private static final long SINK_FLUSH_PERIOD_MILLIS = 250;

    private static final int TRAFFIC_THREADS = 2;
    private static final long GROUP_SHUTDOWN_MILLIS = 500;

    private final HostSettings settings;
    private final byte[] claimValue;
    private final EventLoopGroup eventLoopGroup =
            new MultiThreadIoEventLoopGroup(TRAFFIC_THREADS, NioIoHandler.newFactory());
    private final HybridClock clock = new HybridClock(System::currentTimeMillis);
    private final EventSink sink;
    private final Timeline timeline;
    private final ControlLoop loop;
    private final HttpClient http;
    private final PeerClient peerClient;
    private final EtcdKeyValueStore keyValue;
    private final HostList hostList;
    private final Membership membership;
    private final MembershipDriver membershipDriver;
    private final ConfigurationDriver configuration;
    private final SegmentClient segments;
    private final PlannedStop plannedStop;
    private final AtomicBoolean closed = new AtomicBoolean();
    private final CompletableFuture<Void> ended = new CompletableFuture<>();
    private final List<Runnable> membershipListeners = new ArrayList<>();
    private final List<HostListListener> hostListListeners = new CopyOnWriteArrayList<>();
    private MessageHandler roleHandler = (from, message) -> MessageHandler.reply(new PeerMessage.Ack());
    private PeerServer peerServer;
    private long lastMembershipVersion = -1;
    private volatile List<Host> presentStores = List.of();

    /** Creates a process without starting it; the seed makes its random choices repeatable. */
    public HostProcess(HostSettings settings, long seed) {
        this.settings = settings;
        HostId self = settings.self().id();
        this.claimValue = (self + "/" + UUID.randomUUID()).getBytes(StandardCharsets.UTF_8);
        this.sink = settings.timelineFolder()
                .<EventSink>map(folder -> new FileSink(folder, self.value()))
                .orElseGet(StandardOutputSink::new);
        this.timeline = new Timeline(self.value(), clock, sink);
        this.loop = new ControlLoop(self.value());
        loop.failWith(ended);
        this.http = new HttpClient(eventLoopGroup);
        this.peerClient = new PeerClient(eventLoopGroup, self, clock);
        this.keyValue = new EtcdKeyValueStore(http, settings.keyValueAddress(), settings.platformTimeoutMillis());
        this.hostList = new HttpHostList(http, settings.hostListAddress(), settings.platformTimeoutMillis());
        this.membership = new Membership(self, MembershipSettings.DEFAULT, new Random(seed));
        this.configuration = new ConfigurationDriver(this);
        this.membershipDriver = new MembershipDriver(this);
        this.segments = new SegmentClient(peerClient, () -> presentStores);
        this.plannedStop = new PlannedStop(settings.stopGraceMillis(), settings.stopBoundMillis());
    }

    /** Starts serving peers and reading from the platform; the role's handler must be set before. */
    public void start() {
        peerServer = new PeerServer(
                eventLoopGroup,
                settings.self().id(),
                settings.self().address(),
                clock,
                peerClient.traffic(),
                this::handle);
        timeline.event(EventKind.PROCESS_STARTED)
                .with("role", settings.self().role())
                .with("zone", settings.self().zone())
                .write();
        LOG.info(
                "started {} {} in {}",
                settings.self().role(),
                settings.self().id(),
                settings.self().zone());
        loop.execute(this::readHostList);
        loop.execute(configuration::start);
        loop.every(TICK_PERIOD_MILLIS, this::tick);
        loop.every(SINK_FLUSH_PERIOD_MILLIS, sink::flush);
        loop.every(settings.hostListPeriodMillis(), this::readHostList);
    }

    /** Sets the handler of the messages of the process's role; must be called before {@link #start()}. */
    public void setRoleHandler(MessageHandler handler) {
        roleHandler = handler;
    }

    /** Adds a listener that is called on the control thread after each change of the membership. */
    public void onMembershipChange(Runnable listener) {
        membershipListeners.add(listener);
    }

    /** Adds a listener that is called on the control thread after each successful read of the host list. */
    public void onHostList(HostListListener listener) {
        hostListListeners.add(listener);
    }

    /**
     * Sets the exchange of waiting work in heartbeats; must be called before {@link #start()}.
     *
     * @param ownWork supplies the earliest due time of the waiting items that this host owns, by service, in epoch
     *     milliseconds
     * @param workListener receives the same from the heartbeats of other hosts
     */
    public void setWaitingWorkExchange(
            Supplier<Map<String, Long>> ownWork, BiConsumer<HostId, Map<String, Long>> workListener) {
        membershipDriver.setOwnWork(ownWork);
        membershipDriver.addWorkListener(workListener);
    }

    /** Requests the planned stop, whose time limits count from now. Thread-safe; repeated calls have no effect. */
    public void requestStop() {
        long requestedNanos = loop.nowNanos();
        loop.execute(() -> {
            if (plannedStop.phase() == PlannedStop.Phase.SERVING) {
                plannedStop.request(requestedNanos);
                timeline.event(EventKind.PROCESS_STOPPING).write();
                membershipDriver.announceLeaving();
            }
        });
    }

    /**
     * Advances the planned stop and completes {@link #ended()} when it is over.
     *
     * @param inProgress the amount of work that was started and has not ended
     * @param requestsMayArrive whether callers can still send new requests
     */
    public void advanceStop(int inProgress, boolean requestsMayArrive) {
        if (plannedStop.phase() == PlannedStop.Phase.SERVING || plannedStop.phase() == PlannedStop.Phase.ENDED) {
            return;
        }
        if (plannedStop.advance(inProgress, requestsMayArrive, loop.nowNanos()) == PlannedStop.Phase.ENDED) {
            timeline.event(EventKind.PROCESS_ENDED)
                    .with("inProgress", inProgress)
                    .write();
            ended.complete(null);
        }
    }

    /**
     * Returns a future that completes when the planned stop is over or the process is closed, and exceptionally if the
     * control thread has failed.
     */
    public CompletableFuture<Void> ended() {
        return ended;
    }

    /** Returns the state of the planned stop. */
    public PlannedStop plannedStop() {
        return plannedStop;
    }

    /** Sends a message to a host and returns the reply, which completes on a traffic thread. */
    public CompletableFuture<PeerMessage> ask(Host host, PeerMessage message) {
        return peerClient.ask(host.address(), PeerLane.CONTROL, message, ASK_TIMEOUT_MILLIS);
    }

    /** Sends a message to a host and ignores the reply; a failure is logged at debug level. */
    public void send(Host host, PeerMessage message) {
        ask(host, message).whenComplete((reply, failure) -> {
            if (failure != null) {
                LOG.debug(
                        "host {} did not acknowledge {}",
                        host.id(),
                        message.getClass().getSimpleName());
            }
        });
    }

    /** Returns the hosts of a role that are not considered dead, including this one if it has the role. */
    public List<Host> presentHosts(Role role) {
        List<Host> hosts = new ArrayList<>(membership.presentHosts(role));
        if (settings.self().role() == role) {
            boolean leaving = plannedStop.phase() != PlannedStop.Phase.SERVING;
            hosts.add(leaving ? settings.self().asLeaving() : settings.self());
        }
        return hosts;
    }

    /** Returns whether a host is this one. */
    public boolean isSelf(Host host) {
        return host.id().equals(settings.self().id());
    }

    /** Returns the value that this process writes into the keys that it claims; unique to this process of the host. */
    public byte[] claimValue() {
        return claimValue.clone();
    }

    /** Returns the settings. */
    public HostSettings settings() {
        return settings;
    }

    /** Returns the control loop; thread-safe. */
    public ControlLoop loop() {
        return loop;
    }

    /** Returns the event loops for network I/O; thread-safe. */
    public EventLoopGroup eventLoopGroup() {
        return eventLoopGroup;
    }

    /** Returns the HTTP client; thread-safe. */
    public HttpClient http() {
        return http;
    }

    /** Returns the peer client; thread-safe. */
    public PeerClient peerClient() {
        return peerClient;
    }

    /** Returns the client of the key-value store; thread-safe. */
    public EtcdKeyValueStore keyValue() {
        return keyValue;
    }

    /** Returns the client of the segment stores; thread-safe. */
    public SegmentClient segments() {
        return segments;
    }

    /** Returns the timeline; thread-safe. */
    public Timeline timeline() {
        return timeline;
    }

    /** Returns the view of the other hosts. */
    public Membership membership() {
        return membership;
    }

    /** Returns the driver of the active configuration. */
    public ConfigurationDriver configuration() {
        return configuration;
    }

    MembershipDriver membershipDriver() {
        return membershipDriver;
    }

    @Override
    public void close() {
        if (!closed.compareAndSet(false, true)) {
            return;
        }
        loop.close();
        if (peerServer != null) {
            peerServer.close();
        }
        peerClient.close();
        http.close();
        eventLoopGroup
                .shutdownGracefully(0, GROUP_SHUTDOWN_MILLIS, TimeUnit.MILLISECONDS)
                .awaitUninterruptibly(2 * GROUP_SHUTDOWN_MILLIS);
        if (sink instanceof FileSink file) {
            Try.run(file::close)
                    .onFailure(failure -> LOG.warn("failed to close the timeline file: {}", failure.toString()));
        }
        ended.complete(null);
    }

    private void tick() {
        membershipDriver.tick();
        publishMembershipChange();
    }

    private void publishMembershipChange() {
        if (membership.version() != lastMembershipVersion) {
            lastMembershipVersion = membership.version();
            presentStores = presentHosts(Role.STORE);
            membershipDriver.recordStateChanges();
            membershipListeners.forEach(Runnable::run);
        }
    }

    private void readHostList() {
        hostList.read()
                .whenComplete((listing, failure) -> loop.execute(() -> {
                    // On failure the hosts of the last listing stay; the heartbeats tell which of them are alive.
                    if (failure == null) {
                        membership.updateCandidates(listing.hosts(), loop.nowNanos());
                        publishMembershipChange();
                        hostListListeners.forEach(listener -> listener.onHostList(listing));
                    }
                }));
    }

    private CompletionStage<PeerMessage> handle(HostId from, PeerMessage message) {
        CompletableFuture<PeerMessage> future = new CompletableFuture<>();
        loop.execute(() -> dispatch(from, message).whenComplete((reply, failure) -> {
            if (failure == null) {
                future.complete(reply);
            } else {
                future.completeExceptionally(failure);
            }
        }));
        return future;
    }

    private CompletableFuture<PeerMessage> dispatch(HostId from, PeerMessage message) {
        Optional<CompletableFuture<PeerMessage>> commonReply =
                membershipDriver.handle(from, message).or(() -> configuration.handle(from, message));
        return commonReply.orElseGet(() -> roleHandler.handle(from, message));
    }

    /** Receives the listings of the host list. */
    @FunctionalInterface
    public interface HostListListener {
        /** Called after each successful read of the host list. */
        void onHostList(HostList.Listing listing);
    }
}
