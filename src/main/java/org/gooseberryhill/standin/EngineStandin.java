package org.gooseberryhill.standin;

import com.fasterxml.jackson.databind.JsonNode;
import io.netty.channel.EventLoopGroup;
import java.io.Closeable;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import org.gooseberryhill.decision.order.ModelHolding;
import org.gooseberryhill.http.HttpCall;
import org.gooseberryhill.http.HttpLimits;
import org.gooseberryhill.http.HttpServer;
import org.gooseberryhill.http.RequestBodyHandler;
import org.gooseberryhill.link.Address;
import org.gooseberryhill.link.Json;

/**
 * Simulates a model engine with continuous batching, a prompt cache of limited size and no priorities. Thread-safe.
 *
 * <p>Serves {@code POST /v1/chat/completions} and {@code /v1/completions}, streamed or not, with the header
 * {@code x-resume-from}; {@code GET /status}; {@code POST /orders}; and, to control the simulation,
 * {@code POST /standin/faults} and {@code POST /standin/crash}.
 */
public final class EngineStandin implements Closeable {
    private static final int MAX_ACTIVE_PER_SLOT = 4;
    private static final int CHARACTERS_PER_TOKEN = 4;
    private static final int PREFIX_CHARACTERS = 64;

    private final EventLoopGroup group;
    private final Address address;
    private final EngineSpeed speed;
    private final ScheduledExecutorService executor;
    private final List<Generation> activeGenerations = new ArrayList<>();
    private final ArrayDeque<Generation> queue = new ArrayDeque<>();
    private final Map<String, Boolean> prefixCache;
    private final AtomicInteger crashes = new AtomicInteger();
    private final AtomicInteger servedAnswers = new AtomicInteger();
    private final List<Long> orderFencingTokens = new ArrayList<>();
    private volatile EngineFaults faults = EngineFaults.NONE;
    private volatile ModelHolding loadedModel = new ModelHolding("", "", List.of());
    private volatile HttpServer server;
    private volatile boolean closed;
    private volatile boolean busy;
    private long highestFence;
    private boolean stepScheduled;

    /** Starts an engine that has no model loaded. */
    public EngineStandin(EventLoopGroup group, Address address, EngineSpeed speed) {
        this.group = group;
        this.address = address;
        this.speed = speed;
        this.executor = Executors.newSingleThreadScheduledExecutor(task -> {
            Thread thread = new Thread(task, "engine-" + address.port());
            thread.setDaemon(true);
            return thread;
        });
        this.prefixCache = new LinkedHashMap<>(16, 0.75f, true) {
            @Override
            protected boolean removeEldestEntry(Map.Entry<String, Boolean> eldest) {
                return size() > speed.cachedPrefixes();
            }
        };
        server = HttpServer.start(group, address, HttpLimits.DEFAULT, this::handle);
    }

    /** Sets the faults to simulate. */
    public void setFaults(EngineFaults newFaults) {
        faults = newFaults;
    }

    /** Sets the loaded model directly, without a model order. */
    public void setLoadedModel(ModelHolding holding) {
        loadedModel = holding;
    }

    /** Returns the address at which the engine listens. */
    public Address address() {
        return address;
    }

    /** Returns the loaded model. */
    public ModelHolding loadedModel() {
        return loadedModel;
    }

    /** Returns whether no request is active or queued. */
    public boolean isIdle() {
        return !busy;
    }

    /** Returns the number of crashes so far. */
    public int crashCount() {
        return crashes.get();
    }

    /** Returns the number of answers completed so far. */
    public int servedCount() {
        return servedAnswers.get();
    }

    /** Returns the fencing tokens of the executed orders, in the order of execution. */
    public synchronized List<Long> orderFencingTokens() {
        return List.copyOf(orderFencingTokens);
    }

    /** Closes all connections immediately, as a killed process does; restarts after the configured time, if any. */
    public void crash() {
        executor.execute(this::crashNow);
    }

    /** Starts listening again after a crash. */
    public void restart() {
        executor.execute(this::restartNow);
    }

    @Override
    public void close() {
        closed = true;
        executor.shutdownNow();
        server.close();
    }

    private RequestBodyHandler handle(HttpCall call) {
        return StandinHttp.collectBody(call, body -> {
            JsonNode json = Json.tree(body).getOrElse(Json.object());
            switch (call.path()) {
                case "/v1/chat/completions", "/v1/completions" -> submit(call, json);
                case "/status" -> executor.execute(() -> replyStatus(call));
                case "/orders" -> executor.execute(() -> applyOrder(call, json));
                case "/standin/faults" -> {
                    setFaults(new EngineFaults(
                            Optional.ofNullable(json.path("crashPrompt").textValue()),
                            json.path("restartMillis").asLong(0),
                            json.path("obeysFences").asBoolean(true),
                            json.path("draining").asBoolean(false),
                            json.path("endsEarly").asBoolean(false)));
                    StandinHttp.replyJson(call, 200, Map.of());
                }
                case "/standin/crash" -> crash();
                default -> StandinHttp.replyJson(call, 404, Map.of("error", "no such call"));
            }
        });
    }

    private void submit(HttpCall call, JsonNode json) {
        if (!json.has("prompt") && !json.has("messages")) {
            StandinHttp.replyJson(call, 400, Map.of("error", "neither prompt nor messages"));
            return;
        }
        int resumeFrom = call.headers().getInt("x-resume-from", 0);
        Generation generation = new Generation(call, json, resumeFrom);
        executor.execute(() -> {
            queue.add(generation);
            busy = true;
            scheduleStep();
        });
    }

    private void replyStatus(HttpCall call) {
        StandinHttp.replyJson(
                call,
                200,
                Json.object()
                        .put("active", activeGenerations.size())
                        .put("queued", queue.size())
                        .put("draining", faults.draining())
                        .set("held", Json.mapper().valueToTree(loadedModel)));
    }

    private void applyOrder(HttpCall call, JsonNode json) {
        long fence = json.path("fence").asLong();
        synchronized (this) {
            if (faults.obeysFences() && fence < highestFence) {
                StandinHttp.replyJson(call, 409, Map.of("error", "old fence"));
                return;
            }
            highestFence = Math.max(highestFence, fence);
            orderFencingTokens.add(fence);
        }
        loadedModel =
                Json.read(Json.bytes(json.path("holding")), ModelHolding.class).getOrElse(loadedModel);
        StandinHttp.replyJson(call, 200, Map.of());
    }

    private void scheduleStep() {
        if (stepScheduled || closed) {
            return;
        }
        stepScheduled = true;
        admit();
        long micros = (long) (speed.stepMillis(Math.max(1, activeGenerations.size())) * 1000);
        executor.schedule(this::step, micros, TimeUnit.MICROSECONDS);
    }

    private void admit() {
        while (!queue.isEmpty() && activeGenerations.size() < speed.slots() * MAX_ACTIVE_PER_SLOT) {
            Generation next = queue.poll();
            String prompt = next.prompt();
            String prefix = prompt.substring(0, Math.min(PREFIX_CHARACTERS, prompt.length()));
            boolean cached = prefixCache.put(prefix, Boolean.TRUE) != null;
            int promptTokens = prompt.length() / CHARACTERS_PER_TOKEN;
            next.setPrefillSteps(cached ? 0 : promptTokens / speed.prefillTokensPerStep() + 1);
            activeGenerations.add(next);
        }
    }

    private void step() {
        stepScheduled = false;
        Iterator<Generation> generations = activeGenerations.iterator();
        while (generations.hasNext()) {
            Generation generation = generations.next();
            if (generation.isDisconnected()) {
                generations.remove();
                continue;
            }
            if (triggersCrash(generation)) {
                crashNow();
                return;
            }
            generation.step();
            if (faults.endsEarly() && generation.tryEndEarly()) {
                generations.remove();
                continue;
            }
            if (generation.isDone()) {
                generation.finish();
                servedAnswers.incrementAndGet();
                generations.remove();
            }
        }
        busy = !activeGenerations.isEmpty() || !queue.isEmpty();
        if (busy) {
            scheduleStep();
        }
    }

    private boolean triggersCrash(Generation generation) {
        return faults.crashPrompt().filter(generation.prompt()::contains).isPresent();
    }

    private void crashNow() {
        crashes.incrementAndGet();
        activeGenerations.clear();
        queue.clear();
        prefixCache.clear();
        server.close();
        if (faults.restartMillis() > 0) {
            executor.schedule(this::restartNow, faults.restartMillis(), TimeUnit.MILLISECONDS);
        }
    }

    private void restartNow() {
        if (!closed) {
            server = HttpServer.start(group, address, HttpLimits.DEFAULT, this::handle);
        }
    }
}
