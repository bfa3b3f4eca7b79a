package review;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import java.io.File;
import java.io.IOException;
import java.lang.ProcessBuilder.Redirect;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.Base64;
import java.util.Comparator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.TimeUnit;
import java.util.stream.Stream;
import org.gooseberryhill.http.BodyCollector;
import org.gooseberryhill.http.ExchangeRequest;
import org.gooseberryhill.http.HttpCall;
import org.gooseberryhill.http.HttpClient;
import org.gooseberryhill.http.HttpLimits;
import org.gooseberryhill.http.HttpServer;
import org.gooseberryhill.http.RequestBodyHandler;
import org.gooseberryhill.link.Address;
import org.gooseberryhill.link.Json;
import org.gooseberryhill.platform.standin.StoreFaults;
import org.gooseberryhill.platform.standin.StoreStandin;

/**
 * A small deployment on loopback addresses: the project's processes by the commands of the deploy file, each with an address
 * of its own, before the project's stand-in of the store and the runners of a case. Processes that end are started again, as
 * the platform does. {@link #close} ends all processes that it started.
 */
final class Deployment implements AutoCloseable {
    static final String HOST = "sample.example";
    static final int FRONT_PORT = 8144;
    static final int READY_PORT = 8140;
    private static final int CONTROL_PORT = 8146;
    private static final int METRICS_PORT = 9464;
    private static final int FIRST_INTERNAL_PORT = 7660;
    private static final int STORE_PORT = 8142;

    /** The largest value that the store takes, as the settings file says. */
    private static final int VALUE_BYTES = 1_048_576;

    private static final long HEARTBEAT_MILLIS = 1200;
    private static final long RESTART_MILLIS = 300;
    private static final String GATEWAY_COMMAND =
            "java @deploy/java.options -Xms32m -Xmx192m -Xss512k -XX:SharedArchiveFile=target/classes.jsa"
                    + " org.gooseberryhill.platform.GatewayMain";
    private static final String STORE_COMMAND =
            "java @deploy/java.options -Xms8m -Xmx64m -Xss256k -XX:SharedArchiveFile=target/classes.jsa"
                    + " org.gooseberryhill.platform.StoreMain";

    final Recorder recorder;
    final StoreStandin store;
    final List<Node> gateways = new ArrayList<>();
    final List<Node> stores = new ArrayList<>();
    final List<Runner> runners = new CopyOnWriteArrayList<>();

    /** Values that the store has refused since they are too large. */
    volatile int refusedValues;

    private volatile boolean storeIsSilent;
    private final String network;
    private final Path folder;
    private final EventLoopGroup group = new MultiThreadIoEventLoopGroup(2, NioIoHandler.newFactory());
    private final HttpClient http = new HttpClient(group);
    private final HttpServer frontOfStore;
    private final Address storeBehind;
    private final Map<String, Long> sequences = new ConcurrentHashMap<>();
    private final Map<String, String> services = new ConcurrentHashMap<>();
    private final ScheduledExecutorService timer = Executors.newScheduledThreadPool(2, task -> {
        Thread thread = new Thread(task, "deployment");
        thread.setDaemon(true);
        return thread;
    });
    private final Thread exitHook = new Thread(this::killAll);
    private volatile boolean closed;

    Deployment(Recorder recorder) throws IOException {
        this.recorder = recorder;
        ThreadLocalRandom random = ThreadLocalRandom.current();
        network = "127." + random.nextInt(20, 250) + "." + random.nextInt(1, 250) + ".";
        folder = Files.createTempDirectory("review");
        storeBehind = Address.of(network + "2:" + STORE_PORT);
        store = new StoreStandin(group, storeBehind);
        frontOfStore = HttpServer.start(group, Address.of(network + "1:" + STORE_PORT), HttpLimits.DEFAULT, this::serveStore);
        timer.scheduleWithFixedDelay(this::beat, HEARTBEAT_MILLIS, HEARTBEAT_MILLIS, TimeUnit.MILLISECONDS);
        Runtime.getRuntime().addShutdownHook(exitHook);
    }

    /** Returns an address of the deployment's network for something that the case starts itself. */
    String ip(int number) {
        return network + number;
    }

    /** Writes a configuration, as the operator does. */
    void configure(ObjectNode configuration) {
        store.put("op/config", Json.bytes(configuration));
        recorder.write("configuration %d is acknowledged", configuration.path("version").asLong());
    }

    /** Takes the store down, so that it answers no call, or brings it back; no call that arrives meanwhile has an effect. */
    void setStoreSilent(boolean silent) {
        storeIsSilent = silent;
        store.setFaults(silent ? StoreFaults.refusing(StoreFaults.Refusal.SILENT) : StoreFaults.NONE);
    }

    /** Adds a runner, which reports itself until it is removed. */
    Runner addRunner(String id, String service, int slots, Runner.Behaviour behaviour) throws IOException {
        Runner runner = new Runner(id, ip(100 + runners.size()), slots, recorder, behaviour);
        runners.add(runner);
        services.put(id, service);
        report(runner);
        return runner;
    }

    void startStores(int count) throws IOException {
        for (int i = 0; i < count; i++) {
            Node node = new Node("store-" + i, ip(50 + i), STORE_COMMAND, false);
            stores.add(node);
            node.start();
        }
    }

    void startGateways(int count) throws IOException {
        for (int i = 0; i < count; i++) {
            gateways.add(new Node("front-" + i, ip(10 + i), GATEWAY_COMMAND, true));
        }
        for (Node gateway : gateways) {
            gateway.start();
        }
    }

    /** Waits until all gateways report that they are ready; returns false if that takes too long. */
    boolean awaitReady(int seconds) throws InterruptedException {
        long endNanos = System.nanoTime() + TimeUnit.SECONDS.toNanos(seconds);
        while (System.nanoTime() < endNanos) {
            if (gateways.stream().allMatch(Node::isReady)) {
                return true;
            }
            Thread.sleep(100);
        }
        return false;
    }

    private void beat() {
        runners.stream().filter(runner -> runner.alive).forEach(this::report);
    }

    /** Writes the entry of a runner, as it does itself at each heartbeat and when it has started. */
    void report(Runner runner) {
        long sequence = sequences.merge(runner.id, 1L, Long::sum);
        ObjectNode entry = Json.object()
                .put("service", services.get(runner.id))
                .put("address", runner.ip + ":" + runner.port)
                .put("zone", "zone-a")
                .put("version", "v1")
                .put("slots", runner.slots())
                .put("state", "ready")
                .put("cold_left_ms", 0)
                .put("sequence", sequence)
                .put("born", runner.bornMillis);
        store.put("servers/" + runner.id, Json.bytes(entry));
    }

    /** Passes a call on to the stand-in of the store, unless a value is larger than the store takes. */
    private RequestBodyHandler serveStore(HttpCall call) {
        if (storeIsSilent) {
            return new BodyCollector(0, body -> {}, () -> {});
        }
        return new BodyCollector(
                64 * 1024 * 1024, body -> passToStore(call, body), () -> call.reply(413, Map.of(), new byte[0]));
    }

    private void passToStore(HttpCall call, byte[] body) {
        if (call.path().endsWith("/kv-txn")) {
            JsonNode puts = Json.tree(body).getOrElse(Json.object()).path("put");
            for (JsonNode put : puts) {
                int bytes = Base64.getDecoder().decode(put.path("value").asText("")).length;
                if (bytes > VALUE_BYTES) {
                    refusedValues++;
                    recorder.write("store refuses a value of %d bytes for %s", bytes, put.path("key").asText());
                    call.reply(400, Map.of("content-type", "application/json"), "{}".getBytes());
                    return;
                }
            }
        }
        Map<String, String> headers = Map.of("content-type", "application/json");
        http.call(
                        new ExchangeRequest(storeBehind, call.method(), call.target(), headers, body, 40_000, false),
                        64 * 1024 * 1024)
                .whenComplete((result, failure) -> {
                    if (failure != null) {
                        call.abortStream();
                    } else {
                        call.reply(result.status(), headers, result.body());
                    }
                });
    }

    @Override
    public void close() {
        killAll();
        Runtime.getRuntime().removeShutdownHook(exitHook);
        timer.shutdownNow();
        for (Runner runner : runners) {
            try {
                runner.close();
            } catch (IOException e) {
                // It is closed.
            }
        }
        frontOfStore.close();
        store.close();
        group.shutdownGracefully(0, 100, TimeUnit.MILLISECONDS);
        try (Stream<Path> files = Files.walk(folder)) {
            files.sorted(Comparator.reverseOrder()).map(Path::toFile).forEach(File::delete);
        } catch (IOException e) {
            // The temporary folder stays.
        }
    }

    /** Copies the output of all processes beside the record, for a reader who wants to trace a failure. */
    void keepLogs(Path to) throws IOException {
        for (Node node : Stream.concat(gateways.stream(), stores.stream()).toList()) {
            Files.copy(node.log, to.resolve(node.name + ".log"), java.nio.file.StandardCopyOption.REPLACE_EXISTING);
        }
    }

    private void killAll() {
        closed = true;
        Stream.concat(gateways.stream(), stores.stream()).forEach(Node::killForGood);
    }

    /** One machine with one process of the project. */
    final class Node {
        final String name;
        final String ip;
        final Path log;
        private final String command;
        private final boolean front;
        private Process process;
        private volatile boolean expectedEnd;

        /** How often the process ended although nothing ended it. */
        volatile int ownEnds;

        Node(String name, String ip, String command, boolean front) {
            this.name = name;
            this.ip = ip;
            this.command = command;
            this.front = front;
            this.log = folder.resolve(name + ".log");
        }

        synchronized void start() throws IOException {
            if (closed) {
                return;
            }
            Path settings = folder.resolve(name + ".json");
            Files.write(settings, Json.bytes(settings()));
            ProcessBuilder builder = new ProcessBuilder(Arrays.asList(command.split(" ")))
                    .redirectErrorStream(true)
                    .redirectOutput(Redirect.appendTo(log.toFile()));
            builder.environment().put("GOOSEBERRYHILL_SETTINGS", settings.toString());
            if (front) {
                builder.environment().put("GOOSEBERRY_METRICS_PORT", Integer.toString(METRICS_PORT));
                builder.environment().put("GOOSEBERRY_CALLERS_ADDRESS", ip + ":" + FRONT_PORT);
                builder.environment().put("GOOSEBERRY_ZONE_CROSSING_PRICE_MILLIS", "5");
            }
            expectedEnd = false;
            process = builder.start();
            recorder.write("%s starts at %s", name, ip);
            process.onExit().thenAccept(this::ended);
        }

        private void ended(Process ended) {
            if (closed) {
                return;
            }
            if (!expectedEnd) {
                ownEnds++;
                recorder.tell("%s ended by itself with status %d", name, ended.exitValue());
            }
            timer.schedule(
                    () -> {
                        start();
                        return null;
                    },
                    RESTART_MILLIS,
                    TimeUnit.MILLISECONDS);
        }

        /** Ends the process by SIGKILL; it starts again after a short delay. */
        synchronized void kill() {
            expectedEnd = true;
            recorder.write("%s gets SIGKILL", name);
            process.destroyForcibly();
        }

        /** Stops the process by SIGTERM; it starts again once it has ended. */
        synchronized void terminate() {
            expectedEnd = true;
            recorder.write("%s gets SIGTERM", name);
            process.destroy();
        }

        synchronized void signal(String signal) throws IOException, InterruptedException {
            recorder.write("%s gets SIG%s", name, signal);
            new ProcessBuilder("kill", "-" + signal, Long.toString(process.pid())).start().waitFor();
        }

        synchronized void killForGood() {
            expectedEnd = true;
            if (process != null) {
                process.destroyForcibly();
            }
        }

        boolean isReady() {
            return Caller.call(ip, READY_PORT, "GET", "/gooseberryhill/ready", Map.of("Host", ip), new byte[0], 900)
                            .status()
                    == 200;
        }

        /** Sends a request of a client to the node. */
        Caller.Answer call(String method, String target, Map<String, String> headers, byte[] body, int waitMillis) {
            Map<String, String> all = new LinkedHashMap<>();
            all.put("Host", HOST);
            all.putAll(headers);
            return Caller.call(ip, FRONT_PORT, method, target, all, body, waitMillis);
        }

        private ObjectNode settings() throws IOException {
            ObjectNode json = Json.object()
                    .put("node", name)
                    .put("role", front ? "gateway" : "store")
                    .put("machine_class", front ? "front" : "store")
                    .put("ip", ip)
                    .put("zone", "zone-a")
                    .put("region", "region")
                    .put("bootstrap", true)
                    .put("loss_counts", !front)
                    .put("discovery", "platform")
                    .put("entry", "vip")
                    .put("heartbeat_ms", HEARTBEAT_MILLIS);
            json.putArray("serves").add(front ? "front" : "store");
            json.putObject("zones").put("zone-a", "region");
            ObjectNode listen = json.putObject("listen");
            if (front) {
                listen.put("front", ip + ":" + FRONT_PORT)
                        .put("ready", ip + ":" + READY_PORT)
                        .put("control", ip + ":" + CONTROL_PORT);
            }
            json.putArray("internal_ports").add(FIRST_INTERNAL_PORT).add(FIRST_INTERNAL_PORT + 15);
            ArrayNode seeds = json.putArray("seeds");
            gateways.stream().limit(3).forEach(node -> seeds.add(node.ip + ":" + CONTROL_PORT));
            json.putObject("limits")
                    .put("cpu_share", front ? 0.75 : 1.5)
                    .put("cores", 1)
                    .put("memory_mb", front ? 430 : 470)
                    .put("max_fds", 4100)
                    .put("link_mbps", 1000.0)
                    .put("disk_mb", front ? 0 : 500);
            if (front) {
                json.putNull("data_dir");
            } else {
                Path data = folder.resolve(name + "-data");
                Files.createDirectories(data);
                json.put("data_dir", data.toString());
            }
            json.putArray("contracts")
                    .add("base")
                    .add("drain")
                    .add("config")
                    .add("cost")
                    .add("recover")
                    .add("batch")
                    .add("stream")
                    .add("engine")
                    .add("platform");
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
                    .put("address", network + "1:" + STORE_PORT)
                    .put("form", "kv")
                    .put("writes_per_s", 400)
                    .put("reads_per_s", 2000)
                    .put("history_s", 20)
                    .put("value_bytes", VALUE_BYTES)
                    .put("ttl_min_ms", 1000);
            return json;
        }
    }
}
