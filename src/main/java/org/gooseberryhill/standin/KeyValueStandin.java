package org.gooseberryhill.standin;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.netty.channel.EventLoopGroup;
import java.io.Closeable;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import org.gooseberryhill.external.EtcdJson;
import org.gooseberryhill.http.HttpCall;
import org.gooseberryhill.http.HttpLimits;
import org.gooseberryhill.http.HttpServer;
import org.gooseberryhill.http.RequestBodyHandler;
import org.gooseberryhill.link.Address;
import org.gooseberryhill.link.Json;

/**
 * Simulates the key-value store: the part of the JSON API of etcd v3 that the system uses. Thread-safe.
 *
 * <p>{@code POST /standin/faults} sets the faults, {@code POST /standin/expire-leases} expires all leases and
 * {@code GET /standin/meter} returns the number of calls by kind.
 */
public final class KeyValueStandin implements Closeable {
    private static final long LEASE_CHECK_MILLIS = 50;
    private static final long MILLIS_PER_SECOND = 1000;

    private final KeyValueState state = new KeyValueState(System::nanoTime);
    private final CallCounter callCounter = new CallCounter();
    private final List<Watch> watches = new CopyOnWriteArrayList<>();
    private final ScheduledExecutorService timer = Executors.newSingleThreadScheduledExecutor(task -> {
        Thread thread = new Thread(task, "key-value-timer");
        thread.setDaemon(true);
        return thread;
    });
    private final HttpServer server;
    private volatile KeyValueFaults faults = KeyValueFaults.NONE;
    private KeyValueState.Event latestEvent;
    private int callsToAbort;

    /** Starts listening. */
    public KeyValueStandin(EventLoopGroup group, Address address) {
        server = HttpServer.start(group, address, HttpLimits.DEFAULT, this::handle);
        timer.scheduleWithFixedDelay(this::expireLeases, LEASE_CHECK_MILLIS, LEASE_CHECK_MILLIS, TimeUnit.MILLISECONDS);
    }

    /** Sets the faults to simulate; an outage also aborts all watches. */
    public synchronized void setFaults(KeyValueFaults newFaults) {
        faults = newFaults;
        if (newFaults.outage()) {
            watches.forEach(watch -> watch.call.abortStream());
            watches.clear();
        }
    }

    /** Expires all leases immediately, as if their holders had been paused. */
    public synchronized void expireAllLeases() {
        state.leaseIds().forEach(id -> publish(state.endLease(id)));
    }

    /** Returns the number of calls so far by kind. */
    public Map<String, Long> callCounts() {
        return callCounter.snapshot();
    }

    @Override
    public void close() {
        timer.shutdownNow();
        server.close();
    }

    private RequestBodyHandler handle(HttpCall call) {
        return StandinHttp.collectBody(call, body -> {
            JsonNode json = Json.tree(body).getOrElse(Json.object());
            if (call.path().startsWith("/standin/")) {
                handleControlCall(call, json);
                return;
            }
            callCounter.count(call.path());
            KeyValueFaults current = faults;
            if (current.serviceDelayMillis() > 0) {
                timer.schedule(() -> serve(call, json), current.serviceDelayMillis(), TimeUnit.MILLISECONDS);
            } else {
                serve(call, json);
            }
        });
    }

    private void handleControlCall(HttpCall call, JsonNode json) {
        switch (call.path()) {
            case "/standin/faults" ->
                setFaults(new KeyValueFaults(
                        json.path("outage").asBoolean(false),
                        json.path("slowMillis").asLong(0),
                        json.path("loseAnswers").asInt(0),
                        json.path("cutAfterLost").asInt(0),
                        json.path("staleReads").asBoolean(false)));
            case "/standin/expire-leases" -> expireAllLeases();
            default -> {
                StandinHttp.replyJson(call, 200, callCounts());
                return;
            }
        }
        StandinHttp.replyJson(call, 200, Map.of());
    }

    private synchronized void serve(HttpCall call, JsonNode json) {
        if (faults.outage() || callsToAbort > 0) {
            callsToAbort = Math.max(0, callsToAbort - 1);
            call.abortStream();
            return;
        }
        switch (call.path()) {
            case "/v3/kv/range" -> StandinHttp.replyJson(call, 200, range(json));
            case "/v3/kv/txn" -> {
                ObjectNode answer = transaction(json);
                if (answer.path("succeeded").asBoolean() && tryConsumeAnswerLoss()) {
                    call.abortStream();
                } else {
                    StandinHttp.replyJson(call, 200, answer);
                }
            }
            case "/v3/lease/grant" -> {
                long id = state.grantLease(json.path("TTL").asLong() * MILLIS_PER_SECOND);
                StandinHttp.replyJson(
                        call,
                        200,
                        header().put("ID", Long.toString(id))
                                .put("TTL", json.path("TTL").asText()));
            }
            case "/v3/lease/keepalive" -> {
                long ttlSeconds = state.renewLease(json.path("ID").asLong()) / MILLIS_PER_SECOND;
                ObjectNode result = Json.object();
                result.putObject("result").put("ID", json.path("ID").asText()).put("TTL", Long.toString(ttlSeconds));
                StandinHttp.replyJson(call, 200, result);
            }
            case "/v3/lease/revoke" -> {
                publish(state.endLease(json.path("ID").asLong()));
                StandinHttp.replyJson(call, 200, header());
            }
            case "/v3/watch" -> watch(call, json.path("create_request"));
            default -> StandinHttp.replyJson(call, 404, Map.of("error", "no such call"));
        }
    }

    private boolean tryConsumeAnswerLoss() {
        KeyValueFaults current = faults;
        if (current.loseAnswers() <= 0) {
            return false;
        }
        callsToAbort = current.cutAfterLost();
        faults = new KeyValueFaults(
                current.outage(),
                current.serviceDelayMillis(),
                current.loseAnswers() - 1,
                current.cutAfterLost(),
                current.staleReads());
        return true;
    }

    private ObjectNode range(JsonNode json) {
        String from = EtcdJson.decodeText(json.path("key"));
        String end = EtcdJson.decodeText(json.path("range_end"));
        int limit = json.path("limit").asInt(0);
        Map<String, KeyValueState.Value> found = state.range(from, end);
        ObjectNode answer = header();
        ArrayNode entries = answer.putArray("kvs");
        for (Map.Entry<String, KeyValueState.Value> entry : found.entrySet()) {
            if (limit > 0 && entries.size() == limit) {
                answer.put("more", true);
                break;
            }
            boolean hidden = faults.staleReads()
                    && latestEvent != null
                    && latestEvent.key().equals(entry.getKey());
            if (!hidden) {
                ObjectNode node = keyValue(entry.getKey(), entry.getValue());
                entries.add(json.path("keys_only").asBoolean(false) ? node.without("value") : node);
            }
        }
        answer.put("count", Integer.toString(found.size()));
        return answer;
    }

    private ObjectNode transaction(JsonNode json) {
        boolean succeeded = true;
        for (JsonNode condition : json.path("compare")) {
            succeeded &= holds(condition);
        }
        List<KeyValueState.Change> changes = new ArrayList<>();
        for (JsonNode write : json.path(succeeded ? "success" : "failure")) {
            toChange(write).ifPresent(changes::add);
        }
        boolean unknownLease =
                changes.stream().anyMatch(change -> change.lease() != 0 && !state.hasLease(change.lease()));
        if (unknownLease) {
            succeeded = false;
            changes.clear();
        }
        List<KeyValueState.Event> events = state.apply(changes);
        if (!events.isEmpty()) {
            latestEvent = events.get(events.size() - 1);
        }
        publish(events);
        return header().put("succeeded", succeeded);
    }

    private boolean holds(JsonNode condition) {
        Optional<KeyValueState.Value> value = state.get(EtcdJson.decodeText(condition.path("key")));
        boolean create = condition.path("target").asText().equals("CREATE");
        long actual = value.map(found -> create ? found.createRevision() : found.modRevision())
                .orElse(0L);
        long expected =
                condition.path(create ? "create_revision" : "mod_revision").asLong();
        return actual == expected;
    }

    private static Optional<KeyValueState.Change> toChange(JsonNode write) {
        if (write.has("request_put")) {
            JsonNode put = write.path("request_put");
            return Optional.of(new KeyValueState.Change(
                    EtcdJson.decodeText(put.path("key")),
                    Optional.of(EtcdJson.decode(put.path("value"))),
                    put.path("lease").asLong(0)));
        }
        if (write.has("request_delete_range")) {
            String key = EtcdJson.decodeText(write.path("request_delete_range").path("key"));
            return Optional.of(new KeyValueState.Change(key, Optional.empty(), 0));
        }
        return Optional.empty();
    }

    private void watch(HttpCall call, JsonNode request) {
        Watch watch = new Watch(
                call, EtcdJson.decodeText(request.path("key")), EtcdJson.decodeText(request.path("range_end")));
        call.beginStream(200, StandinHttp.JSON_HEADERS);
        ObjectNode created = Json.object();
        created.putObject("result").put("created", true);
        watch.writeLine(created);
        long from = request.path("start_revision").asLong(0);
        if (from > 0) {
            state.eventsFrom(from).forEach(watch::sendIfWatched);
        }
        call.onDisconnect(() -> watches.remove(watch));
        watches.add(watch);
    }

    private synchronized void expireLeases() {
        if (!faults.outage()) {
            state.expiredLeases().forEach(id -> publish(state.endLease(id)));
        }
    }

    private void publish(List<KeyValueState.Event> events) {
        for (KeyValueState.Event event : events) {
            watches.forEach(watch -> watch.sendIfWatched(event));
        }
    }

    private ObjectNode header() {
        ObjectNode answer = Json.object();
        answer.putObject("header").put("revision", Long.toString(state.revision()));
        return answer;
    }

    private static ObjectNode keyValue(String key, KeyValueState.Value value) {
        return Json.object()
                .put("key", EtcdJson.encode(key))
                .put("value", EtcdJson.encode(value.bytes()))
                .put("create_revision", Long.toString(value.createRevision()))
                .put("mod_revision", Long.toString(value.modRevision()));
    }

    /** An open watch of the keys from {@code fromKey} to {@code endKey}, exclusive. */
    private record Watch(HttpCall call, String fromKey, String endKey) {
        void sendIfWatched(KeyValueState.Event event) {
            if (event.key().compareTo(fromKey) < 0 || event.key().compareTo(endKey) >= 0) {
                return;
            }
            ObjectNode line = Json.object();
            ObjectNode node = line.putObject("result").putArray("events").addObject();
            if (event.value().isPresent()) {
                node.set("kv", keyValue(event.key(), event.value().get()));
            } else {
                node.put("type", "DELETE").putObject("kv").put("key", EtcdJson.encode(event.key()));
            }
            writeLine(line);
        }

        void writeLine(ObjectNode line) {
            call.write((Json.text(line) + "\n").getBytes(StandardCharsets.UTF_8));
        }
    }
}
