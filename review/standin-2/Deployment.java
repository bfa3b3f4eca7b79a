package review2;

import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.stream.Stream;
import org.gooseberryhill.link.Json;
import org.gooseberryhill.platform.standin.StoreStandin;

/**
 * A small deployment on loopback: the platform's store as a stand-in in this process, and the programs of the deploy file
 * as processes. Thread-safe.
 */
final class Deployment implements AutoCloseable {
    static final String HOST = "ficu95.example";
    static final String BATCH_PREFIX = "/pule252/";
    static final String STREAM_PREFIX = "/lohu930/";
    static final String SAFE_PREFIX = "/puxa403/";
    static final String UNSAFE_PREFIX = "/rovi118/";
    static final String MODEL_SERVICE = "huvo11a";
    static final String PLAIN_SERVICE = "keso40b";

    private static final List<String> ZONES = List.of("tas-a", "tas-b", "tas-c");
    private static final int FRONT_MEMORY_MEGABYTES = 430;
    private static final int STORE_MEMORY_MEGABYTES = 470;
    private static final long SETTLE_MILLIS = 3000;
    private static final long READY_TIMEOUT_NANOS = TimeUnit.SECONDS.toNanos(25);

    final List<Child> gateways = new ArrayList<>();
    final List<Child> stores = new ArrayList<>();
    final StoreStandin store;
    final EventLoopGroup group = new MultiThreadIoEventLoopGroup(4, NioIoHandler.newFactory());
    private final EventLoopGroup storeGroup = new MultiThreadIoEventLoopGroup(2, NioIoHandler.newFactory());
    private final Path root;
    private final Path folder;
    private final Recorder record;
    private final Endpoint storeAddress = Endpoint.free();
    private final ScheduledExecutorService timer = Executors.newScheduledThreadPool(4, task -> {
        Thread thread = new Thread(task, "timer");
        thread.setDaemon(true);
        return thread;
    });
    private volatile boolean closed;

    Deployment(Path root, Recorder record) {
        this.root = root;
        this.record = record;
        try {
            this.folder = Files.createTempDirectory("review2-");
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
        Runtime.getRuntime().addShutdownHook(new Thread(this::close));
        store = new StoreStandin(storeGroup, storeAddress.address());
    }

    Path root() {
        return root;
    }

    Path folder() {
        return folder;
    }

    Recorder record() {
        return record;
    }

    boolean closed() {
        return closed;
    }

    void after(long millis, Runnable task) {
        if (!closed) {
            timer.schedule(task, millis, TimeUnit.MILLISECONDS);
        }
    }

    void every(long millis, Runnable task) {
        timer.scheduleAtFixedRate(task, millis, millis, TimeUnit.MILLISECONDS);
    }

    /** Starts the programs, in the way of the deploy file. */
    void start(int gatewayCount, int storeCount) {
        List<Integer> ports = Endpoint.freePorts(gatewayCount * 4 + storeCount);
        int next = 0;
        List<Endpoint> peers = new ArrayList<>();
        List<Endpoint> fronts = new ArrayList<>();
        List<Endpoint> readies = new ArrayList<>();
        List<Integer> metrics = new ArrayList<>();
        for (int i = 0; i < gatewayCount; i++) {
            fronts.add(new Endpoint("127.0.0.1", ports.get(next++)));
            readies.add(new Endpoint("127.0.0.1", ports.get(next++)));
            peers.add(new Endpoint("127.0.0.1", ports.get(next++)));
            metrics.add(ports.get(next++));
        }
        List<Endpoint> seeds = peers.subList(0, Math.min(3, peers.size()));
        for (int i = 0; i < storeCount; i++) {
            String zone = ZONES.get(i % ZONES.size());
            String name = "store-" + zone + "-" + (i / ZONES.size() + 1);
            Endpoint peer = new Endpoint("127.0.0.1", ports.get(next++));
            Path data = folder.resolve(name);
            ObjectNode settings = settings(name, "store", zone, seeds);
            settings.set("listen", Json.object());
            settings.putArray("internal_ports").add(peer.port()).add(peer.port());
            settings.put("loss_counts", true).put("data_dir", data.toString());
            limits(settings, STORE_MEMORY_MEGABYTES, 500);
            createFolder(data);
            Child child = new Child(
                    this,
                    name,
                    peer,
                    peer,
                    peer,
                    command("-Xms8m -Xmx64m -Xss256k", "org.gooseberryhill.platform.StoreMain"),
                    Map.of("GOOSEBERRYHILL_SETTINGS", write(name, settings).toString()),
                    STORE_MEMORY_MEGABYTES,
                    folder.resolve(name + ".log"));
            stores.add(child);
            child.start();
        }
        for (int i = 0; i < gatewayCount; i++) {
            String zone = ZONES.get(i % ZONES.size());
            String name = "front-" + zone + "-" + (i / ZONES.size() + 1);
            ObjectNode settings = settings(name, "front", zone, seeds);
            settings.putObject("listen")
                    .put("front", fronts.get(i).toString())
                    .put("ready", readies.get(i).toString())
                    .put("control", peers.get(i).toString());
            settings.putArray("internal_ports").add(peers.get(i).port()).add(peers.get(i).port());
            settings.put("loss_counts", false).putNull("data_dir");
            limits(settings, FRONT_MEMORY_MEGABYTES, 0);
            Map<String, String> environment = new HashMap<>();
            environment.put("GOOSEBERRYHILL_SETTINGS", write(name, settings).toString());
            environment.put("GOOSEBERRY_METRICS_PORT", Integer.toString(metrics.get(i)));
            environment.put("GOOSEBERRY_CALLERS_ADDRESS", fronts.get(i).toString());
            environment.put("GOOSEBERRY_ZONE_CROSSING_PRICE_MILLIS", "5");
            Child child = new Child(
                    this,
                    name,
                    fronts.get(i),
                    readies.get(i),
                    peers.get(i),
                    command("-Xms32m -Xmx192m -Xss512k", "org.gooseberryhill.platform.GatewayMain"),
                    environment,
                    FRONT_MEMORY_MEGABYTES,
                    folder.resolve(name + ".log"));
            gateways.add(child);
            child.start();
        }
    }

    /** Waits until all gateways are ready; returns whether they are. */
    boolean awaitReady() {
        long endNanos = System.nanoTime() + READY_TIMEOUT_NANOS;
        while (System.nanoTime() < endNanos) {
            if (gateways.stream().allMatch(Child::isReady)) {
                return true;
            }
            sleep(100);
        }
        return false;
    }

    /** Waits until all gateways are ready and know each other; throws if they are not. */
    void requireReady() {
        if (!awaitReady()) {
            throw new IllegalStateException("the gateways are not ready");
        }
        sleep(SETTLE_MILLIS);
    }

    /** Writes the operators' first configuration. */
    void configure(int maxBodyBytes) {
        ObjectNode json = Json.object().put("version", 7);
        ArrayNode routes = json.putArray("routes");
        route(routes, "r-stream", STREAM_PREFIX, "stream", MODEL_SERVICE, 5000, 300, 2).put("allow_resume", true);
        route(routes, "r-safe", SAFE_PREFIX, "safe", PLAIN_SERVICE, 10_000, 386, 2);
        route(routes, "r-unsafe", UNSAFE_PREFIX, "unsafe", PLAIN_SERVICE, 1500, 386, 1);
        route(routes, "r-batch", BATCH_PREFIX, "batch", MODEL_SERVICE, 15000, 500, 3)
                .put("allow_resume", true)
                .put("completion_target_ms", 18_000)
                .put("retention_s", 60);
        ArrayNode services = json.putArray("services");
        services.addObject()
                .put("name", MODEL_SERVICE)
                .put("health_path", "/healthz")
                .put("max_conns", 210)
                .putObject("engine")
                .put("slots", 8)
                .put("kv_capacity_tokens", 134_354);
        services.addObject().put("name", PLAIN_SERVICE).put("health_path", "/healthz").put("max_conns", 110);
        json.putObject("limits")
                .put("max_header_bytes", 16_384)
                .put("max_body_bytes", maxBodyBytes)
                .put("header_timeout_ms", 3000)
                .put("idle_timeout_ms", 15_000);
        store.put("op/config", Json.bytes(json));
    }

    private static ObjectNode route(
            ArrayNode routes,
            String name,
            String prefix,
            String kind,
            String service,
            int timeoutMillis,
            int targetMillis,
            int attempts) {
        return routes.addObject()
                .put("name", name)
                .put("host", HOST)
                .put("prefix", prefix)
                .put("kind", kind)
                .put("timeout_ms", timeoutMillis)
                .put("target_latency_ms", targetMillis)
                .put("priority", 0)
                .put("service", service)
                .put("max_attempts", attempts)
                .put("sticky", true)
                .put("gap_aim_ms", 200);
    }

    private ObjectNode settings(String name, String machineClass, String zone, List<Endpoint> seeds) {
        ObjectNode json = Json.object()
                .put("node", name)
                .put("role", machineClass.equals("front") ? "gateway" : "store")
                .put("machine_class", machineClass)
                .put("ip", "127.0.0.1")
                .put("zone", zone)
                .put("region", "tas")
                .put("bootstrap", true)
                .put("discovery", "platform")
                .put("entry", "vip")
                .put("heartbeat_ms", 1200);
        ArrayNode serves = json.putArray("serves");
        if (machineClass.equals("front")) {
            serves.add("front").add("control");
        } else {
            serves.add("store");
        }
        ObjectNode zones = json.putObject("zones");
        ZONES.forEach(known -> zones.put(known, "tas"));
        ArrayNode list = json.putArray("seeds");
        seeds.forEach(seed -> list.add(seed.toString()));
        ArrayNode contracts = json.putArray("contracts");
        for (String contract :
                List.of("base", "drain", "config", "cost", "recover", "batch", "stream", "engine", "platform")) {
            contracts.add(contract);
        }
        json.putObject("fault_tolerance").put("machines", 1).put("zones", 0).put("regions", 0);
        json.putObject("bounds")
                .put("seed_lag_s", 3)
                .put("reuse_after_s", 2)
                .put("stable_window_ms", 3000)
                .put("ack_ms", 4000)
                .put("catch_up_s", 4.8)
                .put("drain_ms", 2000)
                .put("grace_s", 8)
                .put("loss_slack_ms", 200)
                .put("config_apply_ms", 2000)
                .put("rollback_slack_ms", 250)
                .put("outer_bound_ms", 5000)
                .put("recover_s", 12)
                .put("pass_ms", 120)
                .put("retry_after_s", 0)
                .put("finish_s", 18)
                .put("status_s", 120)
                .put("cancel_ms", 3000)
                .put("settle_ms", 1000)
                .put("quota_overage", 0.1);
        json.putObject("platform")
                .put("address", storeAddress.toString())
                .put("form", "kv")
                .put("writes_per_s", 400)
                .put("reads_per_s", 2000)
                .put("history_s", 20)
                .put("value_bytes", 1_048_576)
                .put("ttl_min_ms", 1000);
        return json;
    }

    private static void limits(ObjectNode settings, int memoryMegabytes, int diskMegabytes) {
        settings.putObject("limits")
                .put("cpu_share", 0.75)
                .put("cores", 1)
                .put("memory_mb", memoryMegabytes)
                .put("max_fds", 4100)
                .put("link_mbps", 1000.0)
                .put("disk_mb", diskMegabytes);
    }

    private static List<String> command(String options, String mainClass) {
        List<String> words = new ArrayList<>(List.of("java", "@deploy/java.options"));
        words.addAll(List.of(options.split(" ")));
        words.add("-XX:SharedArchiveFile=target/classes.jsa");
        words.add(mainClass);
        return words;
    }

    private Path write(String name, ObjectNode settings) {
        try {
            return Files.write(folder.resolve(name + ".json"), Json.bytes(settings));
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }

    private static void createFolder(Path path) {
        try {
            Files.createDirectories(path);
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }

    static void sleep(long millis) {
        try {
            Thread.sleep(millis);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    @Override
    public void close() {
        synchronized (this) {
            if (closed) {
                return;
            }
            closed = true;
        }
        timer.shutdownNow();
        gateways.forEach(Child::stopForGood);
        stores.forEach(Child::stopForGood);
        if (System.getenv("REVIEW_KEEP") == null) {
            deleteFolder();
        } else {
            System.err.println("kept " + folder);
        }
    }

    private void deleteFolder() {
        try (Stream<Path> files = Files.walk(folder)) {
            for (Path file : files.sorted(Comparator.reverseOrder()).toList()) {
                Files.deleteIfExists(file);
            }
        } catch (IOException e) {
            System.err.println("not deleted: " + folder);
        }
    }
}
